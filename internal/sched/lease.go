package sched

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
)

// runRenew renews the lease of the active scheduler on a goroutine of its own,
// so that a long plan does not cost it the lease. When ctx ends it gives the
// lease up; behind ends when the other duties do.
func (s *Scheduler) runRenew(ctx, behind context.Context) error {
	clock := time.NewTicker(renewTime)
	defer clock.Stop()

	for {
		select {
		case <-ctx.Done():
			s.resign(behind)

			return nil
		case <-behind.Done():
			return nil
		case <-clock.C:
			s.renew(ctx)
		}
	}
}

// resign gives the lease up before a planned stop, so that the next scheduler
// need not wait for it to lapse.
func (s *Scheduler) resign(ctx context.Context) {
	defer s.stop()

	reply := make(chan uint64, 1)

	if !s.events.Offer(func() { reply <- s.resignTerm() }) {
		return
	}

	term := <-reply
	if term == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()

	_, _ = s.ledgers.Propose(ctx, s.vm.DataCentre(), ledger.Command{Lead: &ledger.Lead{Term: term}})
}

// resignTerm ends the scheduler's activity and returns the term to give up.
func (s *Scheduler) resignTerm() uint64 {
	if !s.active {
		return 0
	}

	s.active = false

	return s.term + 1
}

// renew commits that this scheduler is alive, or that it takes over from one
// that has not been for takeoverTime.
func (s *Scheduler) renew(ctx context.Context) {
	term, ok := s.wantedTerm(ctx)
	if !ok {
		return
	}

	sent := s.now()

	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()

	result, err := s.ledgers.Propose(ctx, s.vm.DataCentre(), ledger.Command{
		Lead: &ledger.Lead{Holder: s.holder, Term: term},
	})
	if err != nil {
		return
	}

	_ = s.events.Put(ctx, func() { s.renewed(term, sent, &result) })
}

// wantedTerm returns the term to renew or to take, if any.
func (s *Scheduler) wantedTerm(ctx context.Context) (uint64, bool) {
	reply := make(chan uint64, 1)

	if err := s.events.Put(ctx, func() { reply <- s.nextTerm() }); err != nil {
		return 0, false
	}

	select {
	case term := <-reply:
		return term, term > 0
	case <-ctx.Done():
		return 0, false
	}
}

// nextTerm returns the term to renew, the one to take from a scheduler that has
// not renewed its own for takeoverTime, or 0.
func (s *Scheduler) nextTerm() uint64 {
	switch {
	case s.active:
		return s.term
	case s.now().Sub(s.readAt) > followTime:
		return 0 // Renewals may have been committed that were not read.
	case s.resigned || s.now().Sub(s.changedAt) > takeoverTime:
		return s.seenTerm + 1
	default:
		return 0
	}
}

func (s *Scheduler) renewed(term uint64, sent time.Time, result *ledger.Result) {
	if result.Status != ledger.StatusOK {
		s.depose(result.Term)

		return
	}

	s.authority = sent.Add(authorityTime)

	if s.active && s.term == term {
		return
	}

	log.Info().Str("dataCentre", s.vm.DataCentre()).Uint64("term", term).Msg("scheduler is active")

	s.active = true
	s.resigned = false
	s.term = term
	s.activeSince = s.now()
	s.mirror = newMirror()
	s.index = 0
	s.loadedFrom = result.Index
}

func (s *Scheduler) depose(term uint64) {
	if s.active {
		log.Warn().Uint64("term", term).Msg("another scheduler is active")
	}

	s.active = false
	s.resigned = false
	s.seenTerm = max(s.seenTerm, term)
	s.changedAt = s.now()
}
