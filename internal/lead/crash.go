package lead

import (
	"fmt"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// crashTime is how long after its start a run must be listed to be proven: a task that crashes the workers that start
// it does so at once.
const crashTime = 200 * time.Millisecond

// workerReplaced records that another worker answers at a worker's address: the worker has stopped, with all its
// runs.
func (s *Scheduler) workerReplaced(w *worker) {
	s.recordCrash(w)

	if w.shutDown || s.mayBeDown(w) {
		w.shutDown = true

		return
	}

	w.gone = true
}

// recordCrash records that a worker has ended while runs were active on it, unless it had announced that or its machine
// is in maintenance. Only runs that are known to have started are suspected: for the others it is not certain that
// the worker has crashed under them.
func (s *Scheduler) recordCrash(w *worker) {
	if w.ended() || w.status.Draining || w.leaving || s.mayBeDown(w) {
		return
	}

	suspects := 0

	for _, r := range w.runs {
		if r.mayHaveCrashedWorker() {
			suspects++
		}
	}

	for _, r := range w.runsByTask() {
		if r.workerCrashed || r.startedAt.IsZero() {
			continue
		}

		r.workerCrashed = true

		if r.mayHaveCrashedWorker() {
			r.suspects = suspects
		}
	}
}

// concludeCrash returns the cause for which a run has finished, given what it seems to be, and decides how strongly the
// run is suspected if its worker has crashed. An end that the worker has reported is no crash.
func (s *Scheduler) concludeCrash(r *run, cause mill.FinishCause) mill.FinishCause {
	if !r.workerCrashed || cause != mill.FinishLeaseExpired && cause != mill.FinishNotStarted {
		return cause
	}

	if r.suspects > 0 {
		r.suspicion = plan.CrashSuspicion(r.suspects)
		s.addEvent(EventSuspect, r, suspicionDetail(r))
	}

	return mill.FinishWorkerCrashed
}

// clearCrash records that a run is active, so that its worker has not crashed under it: the restart that was taken for a
// crash came before the run.
func (r *run) clearCrash() {
	r.workerCrashed = false
	r.suspects = 0
}

// suspicionDetail describes the evidence against a run for the log.
func suspicionDetail(r *run) string {
	detail := fmt.Sprintf("one of %d, suspicion %d+%d", r.suspects, r.earlierSuspicion, r.suspicion)
	if r.givesUp() {
		return detail + ", job given up"
	}

	return detail
}

// givesUp reports whether the job is given up because the run is suspected once more.
func (r *run) givesUp() bool {
	return r.suspicion > 0 && plan.GivesUp(r.earlierSuspicion+r.suspicion)
}

// proveRun marks a run that its worker lists as proven, once it has run for crashTime.
func (s *Scheduler) proveRun(r *run, now time.Time) {
	if r.proven || r.worker.runs[r.task] != r || r.startedAt.IsZero() || now.Sub(r.startedAt) < crashTime {
		return
	}

	r.worker.countUnproven(r, -1)
	r.proven = true
}

// appendSplit appends the step's unsuspected tasks as one candidate, and each suspected one as another, so that they go to
// different workers. A gang is not split: all its tasks are suspected if one is.
func (c *candidate) appendSplit(found []*candidate) []*candidate {
	isSuspected := func(index int) bool { return c.state.Tasks[index].Suspicion > 0 }

	// Only runs that have started are suspected, so the tasks of a job without any need not be looked at.
	if !c.job.HasStarted || !slices.ContainsFunc(c.waiting, isSuspected) {
		return append(found, c)
	}

	if c.step.Gang {
		c.suspected = true

		return append(found, c)
	}

	var trusted, suspected []int

	for _, index := range c.waiting {
		if isSuspected(index) {
			suspected = append(suspected, index)
		} else {
			trusted = append(trusted, index)
		}
	}

	if len(trusted) > 0 {
		c.waiting = trusted
		found = append(found, c)
	}

	for _, index := range suspected {
		single := *c
		single.waiting = []int{index}
		single.suspected = true
		found = append(found, &single)
	}

	return found
}

// isolate returns a filter for the workers of a suspected step: those on which no other run can cause a crash, so that
// the next crash proves what the task does. After maxAvoidTime the step no longer waits for such a worker.
func (s *Scheduler) isolate(c *candidate, p *pass) func(w *worker) bool {
	c.isolated = c.suspected && p.now.Sub(s.waitingSince(c.id.Task(c.waiting[0]), p.now)) <= maxAvoidTime
	if !c.isolated {
		return nil
	}

	return func(w *worker) bool { return w.unprovenRuns == 0 }
}

// mayIsolate reports whether one more worker of the pool may be kept for a suspected task.
func (p *pool) mayIsolate() bool {
	return p.isolatingWorkers < plan.MaxIsolatingWorkers(len(p.workers))
}
