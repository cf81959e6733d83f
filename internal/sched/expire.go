package sched

import (
	"context"
	"maps"
	"slices"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// expireWorkers returns to the backlog the tasks of workers whose lease has expired without a
// heartbeat. A scheduler that has just become active first waits until all leases that its predecessor
// may have granted have expired.
func (s *Scheduler) expireWorkers(ctx context.Context) {
	now := s.now()

	if !s.earlierLeasesExpired() {
		return
	}

	for _, id := range slices.Sorted(maps.Keys(s.mirror.workers)) {
		w := s.mirror.workers[id]
		lastHeartbeat := w.lastHeartbeat
		if lastHeartbeat.Before(s.activeSince) {
			lastHeartbeat = s.activeSince
		}

		if now.Sub(lastHeartbeat) < s.workerTimeout() {
			continue
		}

		s.loseWorker(ctx, id, w)
	}
}

func (s *Scheduler) loseWorker(ctx context.Context, id string, w *worker) {
	w.live = false

	completions := make([]ledger.Completion, 0, len(w.tasks))

	for _, ref := range sortedRefs(w.tasks) {
		if _, unconfirmed := s.mirror.unconfirmed[ref]; !unconfirmed {
			completions = append(completions, ledger.Completion{TaskRef: ref, State: mill.TaskPending, Reason: "worker was lost"})
		}
	}

	if len(completions) == 0 {
		return
	}

	log.Warn().Str("worker", id).Int("tasks", len(completions)).Msg("worker lost")

	_ = s.commitCompletions(ctx, completions)
}
