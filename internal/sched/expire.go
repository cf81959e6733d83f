package sched

import (
	"context"
	"maps"
	"slices"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// expire puts back what the workers held that have been silent for their whole
// lease. A scheduler that has just become active first lets every lease run
// out that the one before may have given.
func (s *Scheduler) expire(ctx context.Context) {
	now := s.now()

	if !s.settled() {
		return
	}

	for _, id := range slices.Sorted(maps.Keys(s.mirror.workers)) {
		w := s.mirror.workers[id]
		heard := w.heard
		if heard.Before(s.activeSince) {
			heard = s.activeSince
		}

		if now.Sub(heard) < s.grace() {
			continue
		}

		s.lose(ctx, id, w)
	}
}

func (s *Scheduler) lose(ctx context.Context, id string, w *worker) {
	w.live = false

	endings := make([]ledger.Completion, 0, len(w.tasks))

	for _, ref := range sortedRefs(w.tasks) {
		if _, ending := s.mirror.ending[ref]; !ending {
			endings = append(endings, ledger.Completion{TaskRef: ref, State: mill.TaskPending, Reason: "worker was lost"})
		}
	}

	if len(endings) == 0 {
		return
	}

	log.Warn().Str("worker", id).Int("tasks", len(endings)).Msg("worker lost")

	_ = s.commitEndings(ctx, endings)
}
