package sched

import (
	"context"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// handleHeartbeat answers a worker's heartbeat with orders.
func (s *Scheduler) handleHeartbeat(ctx context.Context, heartbeat *mill.Heartbeat) (*mill.Orders, error) {
	orders := &mill.Orders{}

	err := s.runEvent(ctx, func() error {
		// After authorizedUntil the scheduler may have been deposed without knowing it.
		if s.now().After(s.authorizedUntil) {
			return mill.ErrNotPrimary
		}

		return s.processHeartbeat(ctx, heartbeat, orders)
	})

	return orders, err
}

// processHeartbeat records a heartbeat and fills in the orders. After authorizedUntil the scheduler
// may have been deposed without knowing it, so it must not extend a lease.
func (s *Scheduler) processHeartbeat(ctx context.Context, heartbeat *mill.Heartbeat, orders *mill.Orders) error {
	if s.now().After(s.authorizedUntil) || !s.mirrorComplete() {
		return mill.ErrNotPrimary
	}

	w := s.mirror.worker(heartbeat.ID)

	if !s.admit(w, heartbeat) {
		return mill.ErrConflict
	}

	if err := s.enroll(ctx, w, heartbeat); err != nil {
		return err
	}

	if err := s.recordCompletions(ctx, heartbeat, orders); err != nil {
		return err
	}

	s.addOrders(w, heartbeat, orders)
	orders.LeaseMilli = s.settings.Limits.LeaseMilli

	return nil
}

// admit reports whether a heartbeat is accepted. A new incarnation of a worker is refused until the
// lease of the earlier one has expired, since both may be running.
func (s *Scheduler) admit(w *worker, heartbeat *mill.Heartbeat) bool {
	if w.incarnation != 0 && heartbeat.Incarnation != w.incarnation && w.live {
		return false
	}

	if heartbeat.Incarnation < w.incarnation {
		return false
	}

	// A scheduler that has just become active does not know which incarnation runs the worker's
	// tasks, so it accepts the first one only if that reports them.
	if w.incarnation == 0 && len(w.tasks) > 0 && !reportsAssignedTask(heartbeat, w) && !s.earlierLeasesExpired() {
		return false
	}

	if !w.live {
		s.dirty = true
	}

	w.incarnation = heartbeat.Incarnation
	w.live = true
	w.lastHeartbeat = s.now()
	w.view.Rack = heartbeat.Rack

	return true
}

// earlierLeasesExpired reports whether all leases granted by earlier schedulers have expired.
func (s *Scheduler) earlierLeasesExpired() bool {
	return s.now().Sub(s.activeSince) > authorityDuration+s.workerTimeout()
}

// workerTimeout returns how long a worker may keep running its tasks after its last heartbeat, with
// an allowance for the drift of its clock.
func (s *Scheduler) workerTimeout() time.Duration {
	lease := s.settings.Limits.Lease()

	return lease + lease/driftDivisor
}

// reportsAssignedTask reports whether a heartbeat names any task assigned to the worker.
func reportsAssignedTask(heartbeat *mill.Heartbeat, w *worker) bool {
	for i := range heartbeat.Reports {
		if _, ok := w.tasks[heartbeat.Reports[i].TaskRef]; ok {
			return true
		}
	}

	return false
}

// enroll commits a worker's capacity, which has to happen before the worker gets any task.
func (s *Scheduler) enroll(ctx context.Context, w *worker, heartbeat *mill.Heartbeat) error {
	if w.enrolled && w.view.Capacity == heartbeat.Capacity {
		return nil
	}

	_, err := s.propose(ctx, ledger.Command{Enroll: &ledger.Enroll{
		Term: s.term, Worker: heartbeat.ID, Capacity: heartbeat.Capacity,
	}})
	if err != nil {
		return err
	}

	w.enrolled = true
	w.setCapacity(heartbeat.Capacity)
	s.dirty = true

	return nil
}

// recordCompletions commits the completed runs that a worker reports, and orders it to forget them.
func (s *Scheduler) recordCompletions(ctx context.Context, heartbeat *mill.Heartbeat, orders *mill.Orders) error {
	var completions []ledger.Completion

	for i := range heartbeat.Reports {
		report := &heartbeat.Reports[i]
		if !report.State.Final() {
			continue
		}

		orders.Forget = append(orders.Forget, report.TaskRef)

		if _, ok := s.mirror.assigned(report.TaskRef, heartbeat.ID); ok {
			completions = append(completions, ledger.Completion{
				TaskRef: report.TaskRef, State: report.State, Reason: report.Reason,
			})
		}
	}

	if len(completions) == 0 {
		return nil
	}

	return s.commitCompletions(ctx, completions)
}

// commitCompletions records completions as unconfirmed before it commits them: if the reply is lost,
// it is unknown whether they were committed.
func (s *Scheduler) commitCompletions(ctx context.Context, completions []ledger.Completion) error {
	for i := range completions {
		s.mirror.unconfirmed[completions[i].TaskRef] = completions[i]
	}

	result, err := s.propose(ctx, ledger.Command{Complete: &ledger.Complete{Term: s.term, Completions: completions}})
	if err != nil {
		return err
	}

	for i := range completions {
		s.mirror.applyCompletion(&completions[i], result.Index)
	}

	s.dirty = true

	return nil
}

// retryCompletions commits again the completions that may not have been committed.
func (s *Scheduler) retryCompletions(ctx context.Context) {
	if len(s.mirror.unconfirmed) == 0 {
		return
	}

	completions := make([]ledger.Completion, 0, len(s.mirror.unconfirmed))
	for _, ref := range sortedRefs(s.mirror.unconfirmed) {
		completions = append(completions, s.mirror.unconfirmed[ref])
	}

	_ = s.commitCompletions(ctx, completions)
}

// addOrders orders the worker to run its assigned tasks that it does not report, and to stop runs
// that are not assigned to it, completed or canceled.
func (s *Scheduler) addOrders(w *worker, heartbeat *mill.Heartbeat, orders *mill.Orders) {
	held := make(map[mill.TaskRef]bool, len(heartbeat.Reports))

	for i := range heartbeat.Reports {
		report := &heartbeat.Reports[i]
		held[report.TaskRef] = true

		job, ok := s.mirror.assigned(report.TaskRef, heartbeat.ID)
		_, unconfirmed := s.mirror.unconfirmed[report.TaskRef]

		if !report.State.Final() && (!ok || unconfirmed || job.Canceled) {
			orders.Stop = append(orders.Stop, report.TaskRef)
		}
	}

	for _, ref := range sortedRefs(w.tasks) {
		job, ok := s.mirror.assigned(ref, heartbeat.ID)
		_, unconfirmed := s.mirror.unconfirmed[ref]

		if held[ref] || !ok || unconfirmed {
			continue
		}

		orders.Run = append(orders.Run, mill.RunOrder{
			TaskRef:      ref,
			RunTimeMilli: job.Spec.RunTimeMilli,
			Resources:    job.Spec.PerTask,
			Command:      job.Spec.Command,
		})
	}
}
