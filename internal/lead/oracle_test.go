package lead

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// worldCancelTime is how long after its cancellation a job may still start tasks.
const worldCancelTime = 3 * time.Second

// checkStart judges a run that an executor begins.
func (w *world) checkStart(e *executor, order *mill.StartOrder, step *mill.Step, late bool) {
	for _, other := range w.executors {
		if !other.up {
			continue
		}

		if a, ok := other.running[order.Task]; ok {
			w.t.Fatalf("%s: task %s run %d starts on %s while run %d is on %s", w.age(), order.Task, order.Run, e.id,
				a.ref.Run, other.id)
		}
	}

	if w.doneNoted[order.Task] {
		w.t.Fatalf("%s: task %s run %d starts on %s after it was done", w.age(), order.Task, order.Run, e.id)
	}

	job := w.specs[order.Task.Job]

	if order.Spec != job.work.Spec {
		w.t.Fatalf("%s: task %s starts with the spec %q", w.age(), order.Task, order.Spec)
	}

	if !late && !job.canceled.IsZero() && w.now.Sub(job.canceled) > worldCancelTime {
		w.t.Fatalf("%s: task %s starts on %s though its job was canceled", w.age(), order.Task, e.id)
	}

	if !step.LongRunning && w.failures[order.Task] >= w.queue(order.Task.Job).MaxAttempts {
		w.t.Fatalf("%s: task %s starts after %d failures", w.age(), order.Task, w.failures[order.Task])
	}

	w.checkOrder(order, job)
}

func (w *world) checkOrder(order *mill.StartOrder, job *spec) {
	for _, before := range job.work.Steps[order.Task.Step].After {
		id := order.Task.StepID
		id.Step = before

		for index := range job.work.Steps[before].Count {
			if !w.doneNoted[id.Task(index)] {
				w.t.Fatalf("%s: task %s starts before %s is done", w.age(), order.Task, id.Task(index))
			}
		}
	}
}

// checkRoom judges what an executor runs after a start.
func (w *world) checkRoom(e *executor, task mill.TaskID) {
	if used := e.used(); !used.Fits(e.capacity) {
		w.t.Fatalf("%s: %s brings %s to %+v of %+v", w.age(), task, e.id, used, e.capacity)
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
		w.t.Fatalf("%s: %s has %d tasks of step %s", w.age(), e.id, count, task.StepID)
	}
}

// ended takes note of a run's end where it happens.
func (w *world) ended(e *executor, a *activity, cause mill.FinishCause) {
	if cause == mill.FinishGangTimeout && w.calm && w.specs[a.ref.Task.Job].canceled.IsZero() {
		w.t.Fatalf("%s: %s on %s waited alone for its gang", w.age(), a.ref.Task, e.id)
	}
}

// noted takes note that a worker was told that an end is committed.
func (w *world) noted(row *mill.FinishedRun) {
	job, ok := w.state.Job(row.Task.Job)
	if !ok {
		w.t.Fatalf("%s: an end of the unknown job %s is acknowledged", w.age(), row.Task.Job)
	}

	_, task := job.Task(row.Task)
	if task != nil && task.Phase == 1 && task.Run == row.Run && row.Cause != mill.FinishDone {
		w.t.Fatalf("%s: the end of %s run %d is acknowledged but not committed", w.age(), row.Task, row.Run)
	}
}

func (w *world) taskFails(task mill.TaskID) bool {
	return w.poison[task.Job]
}

// gangWhole reports whether all members of a run of a gang are there.
func (w *world) gangWhole(a *activity) bool {
	return len(w.members(a)) == a.step.Count
}

// gangLost reports whether a member of a run of a gang has ended already.
func (w *world) gangLost(a *activity) bool {
	for index := range a.step.Count {
		id := a.ref.Task.Task(index)
		for _, e := range w.executors {
			if e.up && e.barred[id] >= a.ref.Run {
				return true
			}
		}
	}

	return false
}

func (w *world) members(a *activity) []*activity {
	var members []*activity

	for index := range a.step.Count {
		id := a.ref.Task.Task(index)

		for _, e := range w.executors {
			if member, ok := e.running[id]; ok && e.up && member.ref.Run == a.ref.Run {
				members = append(members, member)
			}
		}
	}

	return members
}

// gangDone ends the other members of a gang's run together with the first.
func (w *world) gangDone(a *activity) {
	for _, member := range w.members(a) {
		for _, e := range w.executors {
			if e.running[member.ref.Task] == member {
				e.end(member, mill.FinishDone)
			}
		}
	}
}

func (w *world) age() time.Duration {
	return w.now.Sub(worldStart)
}

// settle ends all faults, and expects every job to end that can, and every
// lasting task to run.
func (w *world) settle(length time.Duration) {
	w.faults = faults{}

	for _, e := range w.executors {
		e.cut, e.fails, e.hangs, e.draining = false, false, false, false

		if !e.up {
			e.up = true
			e.reset()
		}
	}

	w.run(length)

	for _, id := range slices.Sorted(maps.Keys(w.specs)) {
		w.checkSettled(id, w.specs[id])
	}
}

func (w *world) checkSettled(id string, spec *spec) {
	job, ok := w.state.Job(id)
	if !ok {
		w.t.Fatalf("the job %s is lost", id)
	}

	if job.Finished() {
		if job.Placed > 0 {
			w.t.Fatalf("%s: job %s is %s but has %d runs: %+v\n%s", w.age(), id, job.Outcome, job.Placed, job.Occurrences[0].Steps,
				w.explain(id))
		}

		return
	}

	for index := range spec.work.Steps {
		if !spec.work.Steps[index].LongRunning {
			if !job.Occurrences[0].Steps[index].Complete() {
				w.t.Fatalf("%s: job %s is not over: %+v\n%s", w.age(), id, job.Occurrences[0].Steps, w.explain(id))
			}

			continue
		}

		// One that fails soon after each start may be between two of its runs.
		for at := range spec.work.Steps[index].Count {
			if w.poison[id] {
				break
			}

			w.checkLasting(mill.StepID{Job: id, Step: index}.Task(at))
		}
	}
}

func (w *world) checkLasting(task mill.TaskID) {
	for _, e := range w.executors {
		if _, ok := e.running[task]; ok {
			return
		}
	}

	w.t.Fatalf("%s: the lasting task %s does not run\n%s", w.age(), task, w.explain(task.Job))
}

// explain tells what the scheduler and the executors think of a job's runs.
func (w *world) explain(job string) string {
	var lines []string

	for task, r := range w.leader.scheduler.runs {
		if task.Job == job {
			lines = append(lines, fmt.Sprintf("run %s %d on %s: phase %d tries %d inFlight %t stopping %t barred %t cause %q",
				task, r.number, r.worker.status.ID, r.phase, r.tries, r.inFlight, r.stopping, r.barred, r.cause))
		}
	}

	for _, e := range w.executors {
		for task, a := range e.running {
			if task.Job == job {
				lines = append(lines, fmt.Sprintf("%s has %s %d at %.0f", e.id, task, a.ref.Run, a.percent))
			}
		}

		known := w.leader.scheduler.workers[e.id]
		if known != nil {
			lines = append(lines, fmt.Sprintf("%s: failures %d renewing %t committing %d seen %d pending %d free %+v usable %t",
				e.id, known.failures, known.renewing, known.committing, known.seen, known.pending, known.free(),
				known.usable(w.now)))
		}
	}

	slices.Sort(lines)

	return strings.Join(lines, "\n")
}
