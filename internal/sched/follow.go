package sched

import (
	"context"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
)

// followLoop keeps the mirror up to date with the ledger.
func (s *Scheduler) followLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.follow(ctx); err != nil {
			time.Sleep(planInterval)
		}
	}

	return nil
}

func (s *Scheduler) follow(ctx context.Context) error {
	since := make(chan uint64, 1)

	if err := s.events.Put(ctx, func() { since <- s.index }); err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()

	var from uint64

	select {
	case from = <-since:
	case <-ctx.Done():
		return ctx.Err()
	}

	reply, err := s.ledgers.Changes(ctx, &ledger.ChangesRequest{
		Ledger: s.vm.DataCentre(), Since: from, Limit: changesLimit, WaitMilli: changesWait.Milliseconds(),
	})
	if err != nil {
		return err
	}

	return s.events.Put(ctx, func() { s.mergeChanges(from, reply) })
}

// mergeChanges records the state of the scheduler's lease, and applies the changes to the mirror unless
// the mirror was reset since they were requested.
func (s *Scheduler) mergeChanges(from uint64, reply *ledger.ChangesReply) {
	s.leaseReadAt = s.now()

	if reply.Term != s.observedTerm || reply.Renewals != s.observedRenewals {
		s.observedTerm = reply.Term
		s.observedRenewals = reply.Renewals
		s.leaseChangedAt = s.now()
	}

	s.resigned = reply.Leader == ""

	if s.active && reply.Term > s.term {
		s.stepDown(reply.Term)
	}

	if from != s.index {
		return
	}

	for i := range reply.Jobs {
		s.mirror.update(reply.Jobs[i], reply.Commit)
	}

	s.index = max(s.index, reply.Index)
	s.dirty = s.dirty || len(reply.Jobs) > 0
}

// mirrorComplete reports whether the mirror has every job as of the beginning of the term. Until then
// the scheduler knows too little to give orders.
func (s *Scheduler) mirrorComplete() bool {
	return s.index >= s.completeFrom
}

// reloadMirror discards the read position, so that all jobs are read again. The mirror counts as incomplete
// up to the given index, at which the ledger rejected a write that was planned on an outdated mirror.
func (s *Scheduler) reloadMirror(index uint64) {
	s.index = 0
	s.completeFrom = index
	s.dirty = true
}
