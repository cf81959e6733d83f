package sched

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
)

// renewLoop renews the active scheduler's lease on a goroutine of its own, so that a long plan does
// not make the lease expire. It gives up the lease when ctx ends; runCtx ends when the other loops
// end.
func (s *Scheduler) renewLoop(ctx, runCtx context.Context) error {
	clock := time.NewTicker(renewInterval)
	defer clock.Stop()

	for {
		select {
		case <-ctx.Done():
			s.resign(runCtx)

			return nil
		case <-runCtx.Done():
			return nil
		case <-clock.C:
			s.renew(ctx)
		}
	}
}

// resign gives up the lease before a planned stop, so that the next scheduler need not wait for it to
// expire.
func (s *Scheduler) resign(ctx context.Context) {
	defer s.stopLoops()

	reply := make(chan uint64, 1)

	if !s.events.Offer(func() { reply <- s.resignTerm() }) {
		return
	}

	term := <-reply
	if term == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()

	_, _ = s.ledgers.Propose(ctx, s.vm.DataCentre(), ledger.Command{Lead: &ledger.Lead{Term: term}})
}

// resignTerm makes the scheduler inactive and returns the term with which to give up the lease, or 0
// if it was not active.
func (s *Scheduler) resignTerm() uint64 {
	if !s.active {
		return 0
	}

	s.active = false

	return s.term + 1
}

// renew commits a renewal of this scheduler's lease, or a takeover from a scheduler that resigned or
// has not renewed its lease for takeoverTimeout.
func (s *Scheduler) renew(ctx context.Context) {
	term, ok := s.awaitNextTerm(ctx)
	if !ok {
		return
	}

	sent := s.now()

	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()

	result, err := s.ledgers.Propose(ctx, s.vm.DataCentre(), ledger.Command{
		Lead: &ledger.Lead{Holder: s.holder, Term: term},
	})
	if err != nil {
		return
	}

	_ = s.events.Put(ctx, func() { s.onRenewed(term, sent, &result) })
}

// awaitNextTerm returns the result of nextTerm, run on the event loop, and whether there is a term to
// claim.
func (s *Scheduler) awaitNextTerm(ctx context.Context) (uint64, bool) {
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

// nextTerm returns the term to renew, or the one in which to take over from a scheduler that resigned
// or has not renewed its lease for takeoverTimeout, or else 0.
func (s *Scheduler) nextTerm() uint64 {
	switch {
	case s.active:
		return s.term
	case s.now().Sub(s.leaseReadAt) > changesTimeout:
		return 0 // Renewals may have been committed but not read.
	case s.resigned || s.now().Sub(s.leaseChangedAt) > takeoverTimeout:
		return s.observedTerm + 1
	default:
		return 0
	}
}

// onRenewed handles the ledger's reply to a renewal or takeover that was sent at the given time.
func (s *Scheduler) onRenewed(term uint64, sent time.Time, result *ledger.Result) {
	if result.Status != ledger.StatusOK {
		s.stepDown(result.Term)

		return
	}

	s.authorizedUntil = sent.Add(authorityDuration)

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
	s.completeFrom = result.Index
}

// stepDown makes the scheduler inactive because the ledger has a newer term.
func (s *Scheduler) stepDown(term uint64) {
	if s.active {
		log.Warn().Uint64("term", term).Msg("scheduler lost its lease: another scheduler is active")
	}

	s.active = false
	s.resigned = false
	s.observedTerm = max(s.observedTerm, term)
	s.leaseChangedAt = s.now()
}
