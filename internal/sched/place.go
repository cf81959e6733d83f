package sched

import (
	"context"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// tick reschedules the tasks of lost workers and places pending tasks.
func (s *Scheduler) tick(ctx context.Context) {
	if !s.active || !s.mirrorComplete() {
		return
	}

	s.retryCompletions(ctx)
	s.expireWorkers(ctx)

	if !s.dirty {
		return
	}

	s.dirty = false

	for _, placements := range s.mirror.plan(s.placer()) {
		if err := s.commitPlacements(ctx, placements); err != nil {
			s.dirty = true

			return
		}
	}
}

func (s *Scheduler) commitPlacements(ctx context.Context, placements []ledger.Placement) error {
	result, err := s.propose(ctx, ledger.Command{Assign: &ledger.Assign{Term: s.term, Placements: placements}})
	if err != nil {
		return err
	}

	if result.Status != ledger.StatusOK {
		log.Warn().Str("reason", result.Reason).Msg("ledger rejected the placements; reading all jobs again")
		s.reloadMirror(result.Index)

		return nil
	}

	for i := range placements {
		s.mirror.applyPlacement(&placements[i], result.Index)
	}

	return nil
}

func (s *Scheduler) placer() mill.Placer {
	newPlacer, err := mill.Placers.Find(s.control.View().ActivePreset().Placer)
	if err != nil {
		return place.Spread{}
	}

	return newPlacer()
}
