package sched

import (
	"context"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// takeHeartbeat answers a worker's heartbeat with its orders.
func (s *Scheduler) takeHeartbeat(ctx context.Context, heartbeat *mill.Heartbeat) (*mill.Orders, error) {
	orders := &mill.Orders{}

	err := s.do(ctx, func() error {
		// Past its authority a scheduler may have been deposed without knowing.
		if s.now().After(s.authority) {
			return mill.ErrNotPrimary
		}

		return s.heartbeat(ctx, heartbeat, orders)
	})

	return orders, err
}

// heartbeat fills the orders. Past its authority a scheduler may have been
// deposed without knowing, so it must not extend a lease.
func (s *Scheduler) heartbeat(ctx context.Context, heartbeat *mill.Heartbeat, orders *mill.Orders) error {
	if s.now().After(s.authority) || !s.loaded() {
		return mill.ErrNotPrimary
	}

	w := s.mirror.worker(heartbeat.ID)

	if !s.admit(w, heartbeat) {
		return mill.ErrConflict
	}

	if err := s.enroll(ctx, w, heartbeat); err != nil {
		return err
	}

	if err := s.end(ctx, heartbeat, orders); err != nil {
		return err
	}

	s.order(w, heartbeat, orders)
	orders.LeaseMilli = s.settings.Limits.LeaseMilli

	return nil
}

// admit refuses a process that took the place of another under the same id
// until the leases of the other have run out: both may be running.
func (s *Scheduler) admit(w *worker, heartbeat *mill.Heartbeat) bool {
	if w.incarnation != 0 && heartbeat.Incarnation != w.incarnation && w.live {
		return false
	}

	if heartbeat.Incarnation < w.incarnation {
		return false
	}

	// A scheduler that has just become active does not know which process
	// held the tasks, so the first one heard must report them.
	if w.incarnation == 0 && len(w.tasks) > 0 && !reports(heartbeat, w) && !s.settled() {
		return false
	}

	if !w.live {
		s.dirty = true
	}

	w.incarnation = heartbeat.Incarnation
	w.live = true
	w.heard = s.now()
	w.view.Rack = heartbeat.Rack

	return true
}

// settled reports whether every lease has run out that an earlier scheduler gave.
func (s *Scheduler) settled() bool {
	return s.now().Sub(s.activeSince) > authorityTime+s.grace()
}

// grace returns how long after its last heartbeat a worker may be running its
// tasks, by a clock that differs from the worker's.
func (s *Scheduler) grace() time.Duration {
	lease := s.settings.Limits.Lease()

	return lease + lease/driftPart
}

// reports reports whether a heartbeat names any task that the worker holds.
func reports(heartbeat *mill.Heartbeat, w *worker) bool {
	for i := range heartbeat.Reports {
		if _, ok := w.tasks[heartbeat.Reports[i].TaskRef]; ok {
			return true
		}
	}

	return false
}

// enroll commits a worker's capacity before it gets any task.
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

// end commits what the worker says has ended, and tells it to forget that.
func (s *Scheduler) end(ctx context.Context, heartbeat *mill.Heartbeat, orders *mill.Orders) error {
	var endings []ledger.Completion

	for i := range heartbeat.Reports {
		report := &heartbeat.Reports[i]
		if !report.State.Final() {
			continue
		}

		orders.Forget = append(orders.Forget, report.TaskRef)

		if _, ok := s.mirror.assigned(report.TaskRef, heartbeat.ID); ok {
			endings = append(endings, ledger.Completion{
				TaskRef: report.TaskRef, State: report.State, Reason: report.Reason,
			})
		}
	}

	if len(endings) == 0 {
		return nil
	}

	return s.commitEndings(ctx, endings)
}

// commitEndings notes endings before it commits them: with the answer lost
// nobody can tell whether they are committed.
func (s *Scheduler) commitEndings(ctx context.Context, endings []ledger.Completion) error {
	for i := range endings {
		s.mirror.ending[endings[i].TaskRef] = endings[i]
	}

	result, err := s.propose(ctx, ledger.Command{Complete: &ledger.Complete{Term: s.term, Completions: endings}})
	if err != nil {
		return err
	}

	for i := range endings {
		s.mirror.end(&endings[i], result.Index)
	}

	s.dirty = true

	return nil
}

// retryEndings commits again what may not have been committed.
func (s *Scheduler) retryEndings(ctx context.Context) {
	if len(s.mirror.ending) == 0 {
		return
	}

	endings := make([]ledger.Completion, 0, len(s.mirror.ending))
	for _, ref := range sortedRefs(s.mirror.ending) {
		endings = append(endings, s.mirror.ending[ref])
	}

	_ = s.commitEndings(ctx, endings)
}

// order tells the worker to run what it does not hold yet, and to stop what is
// not its own or not wanted any more.
func (s *Scheduler) order(w *worker, heartbeat *mill.Heartbeat, orders *mill.Orders) {
	held := make(map[mill.TaskRef]bool, len(heartbeat.Reports))

	for i := range heartbeat.Reports {
		report := &heartbeat.Reports[i]
		held[report.TaskRef] = true

		job, ok := s.mirror.assigned(report.TaskRef, heartbeat.ID)
		_, ending := s.mirror.ending[report.TaskRef]

		if !report.State.Final() && (!ok || ending || job.Canceled) {
			orders.Stop = append(orders.Stop, report.TaskRef)
		}
	}

	for _, ref := range sortedRefs(w.tasks) {
		job, ok := s.mirror.assigned(ref, heartbeat.ID)
		_, ending := s.mirror.ending[ref]

		if held[ref] || !ok || ending {
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
