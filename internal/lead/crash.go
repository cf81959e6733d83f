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

// crashRecord is a crash of a worker that was noticed.
type crashRecord struct {
	worker *worker
	at     time.Time
	// suspects is how many runs may have caused it. One of which only one run is suspected is not due to chance alone.
	suspects int
}

// crashPause is how often a suspected task has lost its worker to a crash, how many of these count among the crashes for
// other reasons, and until when it is not started again.
type crashPause struct {
	crashes   int
	explained int
	until     time.Time
}

// workerReplaced records that another worker answers at a worker's address: the worker has stopped, with all its
// runs.
func (s *Scheduler) workerReplaced(w *worker, now time.Time) {
	s.recordCrash(w, now)

	if w.shutDown || s.mayBeDown(w) {
		w.shutDown = true

		return
	}

	w.gone = true
}

// recordCrash records that a worker has ended while runs were active on it, unless it had announced that or its machine
// is in maintenance. Only runs that are known to have started are suspected: for the others it is not certain that
// the worker has crashed under them.
func (s *Scheduler) recordCrash(w *worker, now time.Time) {
	if w.ended() || w.status.Draining || w.leaving || s.mayBeDown(w) {
		return
	}

	at := now
	if !w.silentSince.IsZero() {
		at = w.silentSince
	}

	w.silentSince = time.Time{}
	suspects := w.crashSuspects()
	s.addCrash(crashRecord{worker: w, at: at, suspects: suspects})

	for _, r := range w.runsByTask() {
		if !r.workerCrashed {
			s.recordCrashUnder(r, suspects, at)
		}
	}
}

// recordCrashUnder records that a run's worker has crashed.
func (s *Scheduler) recordCrashUnder(r *run, suspects int, at time.Time) {
	r.workerCrashed = !r.startedAt.IsZero()

	if r.earlierSuspicion > 0 || r.mayHaveCrashedWorker() {
		s.pauseAfterCrash(r, suspects, at)
	}

	if r.mayHaveCrashedWorker() {
		r.crashedAt = at
		r.crash = plan.Crash{
			Suspects: suspects, Lifetime: at.Sub(r.startedAt), Ending: r.stopping && r.gang == nil,
			Estimate: s.estimates.Correct(r.queue, r.step.Estimate),
		}
	}
}

// crashSuspects returns how many of the worker's runs may crash it. The members of a gang are one: they fail together.
func (w *worker) crashSuspects() int {
	suspects := 0
	gangs := make(map[*gangRun]bool)

	for _, r := range w.runs {
		if !r.mayHaveCrashedWorker() || r.gang != nil && gangs[r.gang] {
			continue
		}

		gangs[r.gang] = true
		suspects++
	}

	return suspects
}

// addCrash adds a crash to those that tell how often workers crash, and drops the old ones.
func (s *Scheduler) addCrash(crash crashRecord) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c crashRecord) bool { return crash.at.Sub(c.at) > 2*plan.CrashRateSpan })
	s.crashes = append(s.crashes, crash)
}

// concludeCrash returns the cause for which a run has finished, given what it seems to be, and decides how strongly the
// run is suspected if its worker has crashed. An end that the worker has reported is no crash.
func (s *Scheduler) concludeCrash(r *run, cause mill.FinishCause) mill.FinishCause {
	if !r.workerCrashed || cause != mill.FinishLeaseExpired && cause != mill.FinishNotStarted {
		return cause
	}

	if r.crash.Suspects > 0 {
		s.weighCrash(r)
		r.suspicion = r.crash.Suspicion(r.earlierSuspicion)
		s.addEvent(EventSuspect, r, suspicionDetail(r))
	}

	return mill.FinishWorkerCrashed
}

// weighCrash adds to the crash of a run's worker which other workers have crashed or fallen silent, at the same time and
// recently.
func (s *Scheduler) weighCrash(r *run) {
	w, c := r.worker, &r.crash
	c.Ending = c.Ending || r.gang != nil && r.gang.ended
	c.Span = min(plan.CrashRateSpan, max(plan.MinCrashRateSpan, r.crashedAt.Sub(s.termStart)))

	lost := s.lostAt(r.crashedAt)
	c.Recent = s.otherCrashes(r)

	for _, other := range s.workersByIndex {
		if other.status.Service == w.status.Service && r.crashedAt.Sub(other.lastHeard) < reportTimeout {
			c.Workers++
		}

		if silent := lost[other] || together(other.silentSince, r.crashedAt); other != w && (silent || s.isPresent(other)) {
			countCrash(c, w, other, silent)
		}
	}
}

// lostAt returns the workers that have crashed at about a time, but those of which one run explains that.
func (s *Scheduler) lostAt(at time.Time) map[*worker]bool {
	lost := make(map[*worker]bool)

	for _, other := range s.crashes {
		if other.suspects != 1 && together(other.at, at) {
			lost[other.worker] = true
		}
	}

	return lost
}

// otherCrashes returns how many crashes there were in the pool within the span of a run's crash that neither one run
// explains nor this task may explain.
func (s *Scheduler) otherCrashes(r *run) int {
	count := 0

	for _, other := range s.crashes {
		if other.suspects != 1 && other.worker.status.Service == r.worker.status.Service &&
			r.crashedAt.Sub(other.at) < r.crash.Span {
			count++
		}
	}

	return max(0, count-s.crashPauses[r.task].explained)
}

// isPresent reports whether a worker has runs, so that its crash would be noticed at once.
func (s *Scheduler) isPresent(w *worker) bool {
	return !w.gone && s.workers[w.status.ID] == w && len(w.runs) > 0
}

// countCrash adds another worker to the groups of the one that has crashed.
func countCrash(c *plan.Crash, w, other *worker, silent bool) {
	if other.status.Service == w.status.Service {
		c.Pool.Add(silent)
	}

	if w.status.DataCentre != "" && other.status.DataCentre == w.status.DataCentre {
		c.DataCentre.Add(silent)
	}
}

func together(a, b time.Time) bool {
	return a.Sub(b).Abs() <= plan.CrashesTogether
}

// pauseAfterCrash delays the next start of a suspected task. The pauses are not recorded: they start over with a new leader.
func (s *Scheduler) pauseAfterCrash(r *run, suspects int, at time.Time) {
	p := s.crashPauses[r.task]
	p.crashes++

	if suspects != 1 {
		p.explained++
	}

	p.until = at.Add(plan.CrashPause(p.crashes))
	s.crashPauses[r.task] = p
}

// pausedAfterCrash reports whether a suspected task is not started yet.
func (s *Scheduler) pausedAfterCrash(task mill.TaskID, now time.Time) bool {
	return now.Before(s.crashPauses[task].until)
}

// clearCrash records that a run is active, so that its worker has not crashed under it: the restart that was taken for a
// crash came before the run.
func (r *run) clearCrash() {
	r.workerCrashed = false
	r.crash = plan.Crash{}
}

// suspicionDetail describes the evidence against a run for the log.
func suspicionDetail(r *run) string {
	detail := fmt.Sprintf("one of %d after %s, %d of %d in its pool at once, %d recently, suspicion %d+%d",
		r.crash.Suspects, r.crash.Lifetime, r.crash.Pool.Together, r.crash.Pool.Workers, r.crash.Recent,
		r.earlierSuspicion, r.suspicion)
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

	delete(s.crashPauses, r.task)
}

// appendSplit appends the step's unsuspected tasks as one candidate, and each suspected one as another, so that they go to
// different workers, without those that are paused. A gang is not split: all its tasks are suspected if one is.
func (s *Scheduler) appendSplit(found []*candidate, c *candidate) []*candidate {
	isSuspected := func(index int) bool { return c.state.Tasks[index].Suspicion > 0 }

	// Only runs that have started are suspected, so the tasks of a job without any need not be looked at.
	if !c.job.HasStarted || !slices.ContainsFunc(c.waiting, isSuspected) {
		return append(found, c)
	}

	isPaused := func(index int) bool { return s.pausedAfterCrash(c.id.Task(index), c.now) }

	if c.step.Gang {
		if slices.ContainsFunc(c.waiting, func(index int) bool { return isSuspected(index) && isPaused(index) }) {
			return found
		}

		c.suspected = true

		return append(found, c)
	}

	var trusted, suspected []int

	for _, index := range c.waiting {
		switch {
		case !isSuspected(index):
			trusted = append(trusted, index)
		case isPaused(index):
		default:
			suspected = append(suspected, index)
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

// chooseIsolated chooses workers as chooseByRack does, for a suspected step those on which no other run can cause a crash,
// so that the next crash proves what the task does. After maxAvoidTime the step takes others too if there are none of these.
func (s *Scheduler) chooseIsolated(c *candidate, count int, p *pass) ([]int, []*worker) {
	waits := s.awaitsIsolation(c, p)
	c.isolated = false

	if c.suspected && p.pool(c).mayIsolate() {
		chosen, workers := s.chooseByRack(c, count, p, func(w *worker) bool { return w.unprovenRuns == 0 })
		if len(chosen) > 0 && (!c.step.Gang || len(chosen) == count) {
			c.isolated = true

			return chosen, workers
		}
	}

	if waits {
		return nil, nil
	}

	return s.chooseByRack(c, count, p, nil)
}

// awaitsIsolation reports whether a step still waits for workers on which no other run can cause a crash. The wait begins
// with the first call.
func (s *Scheduler) awaitsIsolation(c *candidate, p *pass) bool {
	return c.suspected && p.now.Sub(s.waitingSince(c.id.Task(c.waiting[0]), p.now)) <= maxAvoidTime
}

// mayIsolate reports whether one more worker of the pool may be kept for a suspected task.
func (p *pool) mayIsolate() bool {
	return p.isolatingWorkers < plan.MaxIsolatingWorkers(len(p.workers))
}
