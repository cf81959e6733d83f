package lead

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// simCancelTime is how long after its cancellation a job may still start tasks.
	simCancelTime = 3 * time.Second
	// simContactTime is how long after a disturbance the platform expects nothing within a time limit.
	simContactTime = 3 * time.Second
)

// checkStart checks a run that an executor starts: the task must not be active elsewhere,
// completed, canceled or out of attempts, it must have its job's spec, and the steps before it must
// be complete.
func (sim *simulation) checkStart(e *executor, order *mill.StartOrder, late bool) {
	for _, other := range sim.executors {
		if !other.up {
			continue
		}

		if a, ok := other.running[order.Task]; ok {
			sim.t.Fatalf("%s: task %s run %d starts on %s while run %d is on %s", sim.elapsed(), order.Task, order.Run, e.id,
				a.ref.Run, other.id)
		}
	}

	if sim.completedTasks[order.Task] {
		sim.t.Fatalf("%s: task %s run %d starts on %s after it was completed", sim.elapsed(), order.Task, order.Run, e.id)
	}

	job := sim.specs[order.Task.Job]

	if order.Spec != job.work.Spec {
		sim.t.Fatalf("%s: task %s starts with the spec %q", sim.elapsed(), order.Task, order.Spec)
	}

	if !late && !job.canceled.IsZero() && sim.now.Sub(job.canceled) > simCancelTime {
		sim.t.Fatalf("%s: task %s starts on %s though its job was canceled", sim.elapsed(), order.Task, e.id)
	}

	if sim.provider != nil {
		sim.provider.checkStart(order.Task)
	}

	sim.attempts.checkStart(mill.RunRef{Task: order.Task, Run: order.Run})
	sim.checkCrashes(order.Task)
	sim.checkEarlierSteps(order, job)
}

// maxStartsAfterCrashes is how many more starts of a task that has crashed simMaxCrashes executors break the rules.
const (
	simMaxCrashes         = 3
	maxStartsAfterCrashes = 3
)

// checkCrashes checks that a task is not started again and again though it crashes its executors.
func (sim *simulation) checkCrashes(task mill.TaskID) {
	if sim.crashes[task] < simMaxCrashes {
		return
	}

	sim.startsAfterCrashes[task]++

	if sim.startsAfterCrashes[task] >= maxStartsAfterCrashes {
		sim.t.Fatalf("%s: task %s starts once more after it has crashed %d executors", sim.elapsed(), task, sim.crashes[task])
	}
}

// checkEarlierSteps checks that the steps before a task's step are completed.
func (sim *simulation) checkEarlierSteps(order *mill.StartOrder, job *jobSpec) {
	for _, before := range job.work.Steps[order.Task.Step].After {
		id := order.Task.StepID
		id.Step = before

		for index := range job.work.Steps[before].Count {
			if !sim.completedTasks[id.Task(index)] {
				sim.t.Fatalf("%s: task %s starts before %s is completed", sim.elapsed(), order.Task, id.Task(index))
			}
		}
	}
}

// checkCapacity checks an executor's load after a start. A capacity that has shrunk counts when the executor has had
// time to report it, and not for an order that was carried out late.
func (sim *simulation) checkCapacity(e *executor, task mill.TaskID, late bool) {
	since := sim.now.Add(-simContact - simReportInterval)
	if late {
		since = simStart.Add(-simStep) // A capacity that shrank before the first step counted until then.
	}

	if used := e.used(); !e.hadCapacity(used, since) {
		sim.t.Fatalf("%s: starting %s raises the load of %s to %+v of %+v, before %+v\n%s", sim.elapsed(), task, e.id, used,
			e.capacity, e.pastCapacities, sim.explain(task.Job))
	}

	step := e.running[task].step
	if step.MaxPerWorker == 0 {
		return
	}

	count := 0

	for other := range e.running {
		if other.StepID == task.StepID {
			count++
		}
	}

	if count > step.MaxPerWorker {
		sim.t.Fatalf("%s: %s has %d tasks of step %s", sim.elapsed(), e.id, count, task.StepID)
	}
}

// checkCanceled checks that no task of a canceled job runs on through a calm stretch of the time limit.
func (sim *simulation) checkCanceled() {
	if sim.faults != (faults{}) {
		sim.disturbedAt = sim.now
	}

	for _, e := range sim.executors {
		if !e.reachable() || e.unheard || e.fails || e.hangs || e.refusesStops {
			e.disturbedAt = sim.now

			continue
		}

		for _, a := range e.executions() {
			canceled := sim.specs[a.ref.Task.Job].canceled
			if canceled.IsZero() {
				continue
			}

			if since := sim.calmSince(e, a, canceled); sim.now.Sub(since) > simCancelTime+simStopTime {
				sim.t.Fatalf("%s: task %s run %d runs on on %s: its job was canceled at %s and all is calm since %s\n%s",
					sim.elapsed(), a.ref.Task, a.ref.Run, e.id, canceled.Sub(simStart), since.Sub(simStart),
					sim.explain(a.ref.Task.Job))
			}
		}
	}
}

// calmSince returns from when the time limit for stopping a run of a canceled job counts.
func (sim *simulation) calmSince(e *executor, a *execution, canceled time.Time) time.Time {
	since := canceled

	for _, disturbed := range []time.Time{sim.disturbedAt, e.disturbedAt} {
		if calm := disturbed.Add(simContactTime); calm.After(since) {
			since = calm
		}
	}

	if calm := a.startedAt.Add(simContactTime); a.late && calm.After(since) {
		since = calm
	}

	return since
}

// checkFinish checks a run that finishes on its executor: without faults, no member of a gang may time
// out waiting for the others.
func (sim *simulation) checkFinish(e *executor, a *execution, cause mill.FinishCause) {
	if cause == mill.FinishGangTimeout && sim.faultless && sim.specs[a.ref.Task.Job].canceled.IsZero() {
		sim.t.Fatalf("%s: %s on %s timed out waiting for its gang", sim.elapsed(), a.ref.Task, e.id)
	}
}

// checkAcknowledged checks that a finished run that is acknowledged to a worker has been committed.
func (sim *simulation) checkAcknowledged(e *executor, row *mill.FinishedRun) {
	job, ok := sim.state.Job(row.Task.Job)
	if !ok {
		sim.t.Fatalf("%s: a finished run of the unknown job %s is acknowledged", sim.elapsed(), row.Task.Job)
	}

	_, task := job.Task(row.Task)
	member := sim.specs[row.Task.Job].work.Steps[row.Task.Step].Gang
	if task != nil && task.Phase == 1 && task.Run == row.Run && (row.Cause != mill.FinishDone || !member) {
		sim.t.Fatalf("%s: finished %s run %d is acknowledged but not committed", sim.elapsed(), row.Task, row.Run)
	}

	sim.attempts.recordAcknowledged(e, row.RunRef)
}

// gangComplete reports whether all members of a gang's run are active.
func (sim *simulation) gangComplete(a *execution) bool {
	return len(sim.gangMembers(a)) == a.step.Count
}

// gangMemberFinished reports whether a member of a gang's run has already finished.
func (sim *simulation) gangMemberFinished(a *execution) bool {
	for index := range a.step.Count {
		id := a.ref.Task.Task(index)
		for _, e := range sim.executors {
			if e.up && e.lastFinishedRun[id] >= a.ref.Run {
				return true
			}
		}
	}

	return false
}

func (sim *simulation) gangMembers(a *execution) []*execution {
	var members []*execution

	for index := range a.step.Count {
		id := a.ref.Task.Task(index)

		for _, e := range sim.executors {
			if member, ok := e.running[id]; ok && e.up && member.ref.Run == a.ref.Run {
				members = append(members, member)
			}
		}
	}

	return members
}

// completeGang finishes the other members of a gang's run together with the first, or up to memberLag later.
func (sim *simulation) completeGang(a *execution) {
	for _, member := range sim.gangMembers(a) {
		if sim.memberLag > 0 {
			lag := sim.memberLag * time.Duration(1+sim.choose("lag", 4)) / 4
			member.end = &memberEnd{at: sim.now.Add(lag), cause: mill.FinishDone}

			continue
		}

		for _, e := range sim.executors {
			if e.running[member.ref.Task] == member {
				e.finish(member, mill.FinishDone)
			}
		}
	}
}

func (sim *simulation) elapsed() time.Duration {
	return sim.now.Sub(simStart)
}

// recoverAndCheck ends all faults, has every executor grow to its full capacity and lets time pass, then expects every
// job that can finish to be finished, and every long-running task to be active.
func (sim *simulation) recoverAndCheck(length time.Duration) {
	sim.heal()
	sim.run(length)

	for _, id := range slices.Sorted(maps.Keys(sim.specs)) {
		sim.checkJob(id, sim.specs[id])
	}
}

// heal ends all faults and has every executor grow to its full capacity.
func (sim *simulation) heal() {
	sim.faults = faults{}

	for _, e := range sim.executors {
		e.disconnected, e.fails, e.hangs, e.draining = false, false, false, false
		e.unheard, e.mute, e.refusesStops = false, false, false

		e.resize(mill.Resources{
			MilliCores: simCapacity, MemoryMiB: simCapacity, Accelerators: e.capacity.Accelerators,
		})
		e.comeBack()
	}
}

func (sim *simulation) checkJob(id string, spec *jobSpec) {
	job, ok := sim.state.Job(id)
	if !ok {
		sim.t.Fatalf("the job %s is lost", id)
	}

	if job.Finished() {
		if job.Placed > 0 {
			sim.t.Fatalf("%s: job %s is %s but has %d runs: %+v\n%s", sim.elapsed(), id, job.Outcome, job.Placed,
				job.Occurrences, sim.explain(id))
		}

		return
	}

	for index := range spec.work.Steps {
		if !spec.work.Steps[index].LongRunning {
			for number := range spec.work.Occurrences() {
				if occurrence := job.Occurrences[number]; occurrence == nil || !occurrence.Steps[index].Complete() {
					sim.t.Fatalf("%s: job %s is not finished: %+v\n%s", sim.elapsed(), id, occurrence, sim.explain(id))
				}
			}

			continue
		}

		// A task that fails soon after each start may be between two of its runs.
		for at := range spec.work.Steps[index].Count {
			if sim.failingJobs[id] {
				break
			}

			sim.checkLongRunning(mill.StepID{Job: id, Step: index}.Task(at))
		}
	}
}

func (sim *simulation) checkLongRunning(task mill.TaskID) {
	for _, e := range sim.executors {
		if _, ok := e.running[task]; ok {
			return
		}
	}

	sim.t.Fatalf("%s: the long-running task %s is not active\n%s", sim.elapsed(), task, sim.explain(task.Job))
}

// explain describes a job's runs as the scheduler and the executors see them.
func (sim *simulation) explain(job string) string {
	var lines []string

	for task, r := range sim.leader.scheduler.runs {
		if task.Job == job {
			lines = append(lines, fmt.Sprintf("run %s %d on %s: phase %d attempts %d inFlight %t stopping %t acked %t cause %q",
				task, r.number, r.worker.status.ID, r.phase, r.startAttempts, r.startInFlight, r.stopping, r.stopAcknowledged, r.cause))
		}
	}

	for _, e := range sim.executors {
		for task, a := range e.running {
			if task.Job == job {
				lines = append(lines, fmt.Sprintf("%s has %s %d at %.0f", e.id, task, a.ref.Run, a.percent))
			}
		}

		w := sim.leader.scheduler.workers[e.id]
		if w != nil {
			lines = append(lines, fmt.Sprintf("%s: failures %d renewing %t uncommitted %d committed %d listed %d free %+v usable %t",
				e.id, w.failedRenewals, w.renewing, w.uncommittedFinishes, w.committedThrough, w.listedThrough,
				w.free(), w.usable(sim.now)))
		}
	}

	slices.Sort(lines)

	return strings.Join(lines, "\n")
}

// checkIndexes compares what the scheduler keeps between plans with what a search through everything finds.
func (sim *simulation) checkIndexes(s *Scheduler) {
	sim.tenants.checkUse(s)
	sim.checkSuspects()

	runsByJob := make(map[string]int)

	for _, r := range s.runs {
		runsByJob[r.task.Job]++

		due := r.cause == "" && (r.stopping || r.phase == runStarting)
		if _, listed := s.ordersDue[r]; due && !listed {
			sim.t.Fatalf("%s: task %s run %d waits for an order and is not listed", sim.elapsed(), r.task, r.number)
		}
	}

	if !maps.Equal(runsByJob, s.runsByJob) {
		sim.t.Fatalf("%s: the counts of runs are %v instead of %v", sim.elapsed(), s.runsByJob, runsByJob)
	}

	sorted := slices.SortedFunc(maps.Values(s.workers), byID)
	if !slices.Equal(sorted, s.workersByID()) {
		sim.t.Fatalf("%s: the sorted workers are out of date", sim.elapsed())
	}

	for _, w := range s.workers {
		if len(w.runsByTask()) != len(w.runs) {
			sim.t.Fatalf("%s: the sorted runs of %s are out of date", sim.elapsed(), w.status.ID)
		}

		sim.checkUnproven(w)

		sim.checkAdviceSets(s, w)

		if w.recordCurrent && (w.recorded == nil || !w.recorded.SameStableFields(&w.status)) {
			sim.t.Fatalf("%s: the record of %s is out of date", sim.elapsed(), w.status.ID)
		}
	}
}

// checkAdviceSets compares the sets of workers that the advisor has answered for and allows with the answers.
func (sim *simulation) checkAdviceSets(s *Scheduler, w *worker) {
	for id, a := range s.advice {
		bit := uint64(1) << (w.index % wordBits)
		answered := a.answered.word(w.index/wordBits)&bit != 0
		allowed := a.allowed.word(w.index/wordBits)&bit != 0
		_, hasTicket := a.tickets[w.status.ID]

		if answered != a.answeredFor[w.status.ID] || allowed != hasTicket {
			sim.t.Fatalf("%s: the sets of workers of %s are out of date for %s", sim.elapsed(), id, w.status.ID)
		}
	}
}

// checkSuspects expects that no task of a job without a started run is suspected: a plan does not look for these.
func (sim *simulation) checkSuspects() {
	for id, job := range sim.state.OpenJobs() {
		for _, occurrence := range job.Occurrences {
			for _, step := range occurrence.Steps {
				suspected := slices.ContainsFunc(step.Tasks, func(t jobs.Task) bool { return t.Suspicion > 0 })
				if suspected && !job.HasStarted {
					sim.t.Fatalf("%s: a task of %s is suspected, but none has started", sim.elapsed(), id)
				}
			}
		}
	}
}

// checkUnproven compares the counts of unproven runs with the runs.
func (sim *simulation) checkUnproven(w *worker) {
	unproven, isolating := 0, 0

	for _, r := range w.runs {
		if r.proven {
			continue
		}

		unproven++

		if r.isolating {
			isolating++
		}
	}

	if w.unprovenRuns != unproven || w.isolatingRuns != isolating {
		sim.t.Fatalf("%s: %s counts %d unproven and %d isolating runs instead of %d and %d", sim.elapsed(), w.status.ID,
			w.unprovenRuns, w.isolatingRuns, unproven, isolating)
	}
}
