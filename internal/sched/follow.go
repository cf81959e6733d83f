package sched

import (
	"context"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
)

// runFollow brings the mirror up to date with the ledger.
func (s *Scheduler) runFollow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.follow(ctx); err != nil {
			time.Sleep(planTime)
		}
	}

	return nil
}

func (s *Scheduler) follow(ctx context.Context) error {
	since := make(chan uint64, 1)

	if err := s.events.Put(ctx, func() { since <- s.index }); err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, followTime)
	defer cancel()

	var from uint64

	select {
	case from = <-since:
	case <-ctx.Done():
		return ctx.Err()
	}

	reply, err := s.ledgers.Changes(ctx, &ledger.ChangesRequest{
		Ledger: s.vm.DataCentre(), Since: from, Limit: followLimit, WaitMilli: followWait.Milliseconds(),
	})
	if err != nil {
		return err
	}

	return s.events.Put(ctx, func() { s.merge(from, reply) })
}

// merge takes changes, unless the mirror was begun anew since they were asked for.
func (s *Scheduler) merge(from uint64, reply *ledger.ChangesReply) {
	s.readAt = s.now()

	if reply.Term != s.seenTerm || reply.Renewals != s.renewals {
		s.seenTerm = reply.Term
		s.renewals = reply.Renewals
		s.changedAt = s.now()
	}

	s.resigned = reply.Leader == ""

	if s.active && reply.Term > s.term {
		s.depose(reply.Term)
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

// loaded reports whether the mirror has every job as of the term's beginning.
// Before that the scheduler knows too little to tell a worker anything.
func (s *Scheduler) loaded() bool {
	return s.index >= s.loadedFrom
}

// readAgain has every job read again up to an index, at which the ledger has
// shown that the mirror is not like it.
func (s *Scheduler) readAgain(index uint64) {
	s.index = 0
	s.loadedFrom = index
	s.dirty = true
}
