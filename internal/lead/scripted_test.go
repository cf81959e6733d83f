package lead

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// errNotCommitted is what a proposal is answered that was not made.
var errNotCommitted = errors.New("not committed")

// scriptedWorker carries out its start orders at once. Its runs progress and end as the test says.
type scriptedWorker struct {
	status   mill.WorkerStatus
	running  map[mill.TaskID]mill.RunStatus
	finished []mill.FinishedRun
}

// scriptedTest is a scheduler with scripted workers, whose commands are committed at once.
type scriptedTest struct {
	t         *testing.T
	now       time.Time
	state     *jobs.State
	scheduler *Scheduler
	workers   map[string]*scriptedWorker
	// commitErrors is how many of the next proposals with the end of a run fail.
	commitErrors int
	events       []Event
	// renews holds the renewals that were sent. Workers do not report while unreported is set.
	renews     []Renew
	unreported bool
}

// newScriptedTest returns a test with workers whose racks are the first letters of their ids.
func newScriptedTest(t *testing.T, workers ...string) *scriptedTest {
	t.Helper()

	state := jobs.NewState()
	state.Apply(&jobs.Command{Setup: simSetup()})

	s := &scriptedTest{
		t: t, now: simStart, state: state, workers: make(map[string]*scriptedWorker),
		scheduler: newScriptedLeader(1, simStart, state),
	}

	for _, id := range workers {
		s.workers[id] = &scriptedWorker{
			status: mill.WorkerStatus{
				ID: id, StartUnixMilli: 1, Service: "pool", Address: id, Rack: id[:1],
				Capacity: mill.Resources{MilliCores: simCapacity, MemoryMiB: simCapacity},
			},
			running: make(map[mill.TaskID]mill.RunStatus),
		}
	}

	s.plan()

	return s
}

func newScriptedLeader(term uint64, now time.Time, state *jobs.State) *Scheduler {
	return New(Bounds{MaxLease: simMaxLease, GangTimeout: simGangTimeout}, term, now, state, place.Pack{})
}

// takeOver begins a term, in which all workers have been heard of.
func (s *scriptedTest) takeOver() {
	s.scheduler = newScriptedLeader(2, s.now, s.state)
	s.pass(simStep)

	for id := range s.workers {
		s.answer(id)
	}
}

// wholeWorkers returns a step of a gang whose members need a worker each.
func wholeWorkers(count int) mill.Step {
	return mill.Step{Count: count, Gang: true, Estimate: time.Second, PerTask: mill.Resources{MilliCores: 3000, MemoryMiB: 100}}
}

// plan has all workers report, plans once, commits what is to be committed, and carries out the start orders.
func (s *scriptedTest) plan() {
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		if !s.unreported {
			s.report(id)
		}
	}

	actions := s.scheduler.Next(s.now, s.now.UnixMilli(), s.state)
	s.commit(actions.Commands)

	orders := s.scheduler.Dispatch(s.now)
	s.commit(orders.Commands)

	for _, start := range append(actions.Starts, orders.Starts...) {
		s.start(&start)
	}

	s.renews = append(s.renews, append(actions.Renews, orders.Renews...)...)
	s.events = append(s.events, s.scheduler.TakeEvents()...)
}

// report has a worker report its status.
func (s *scriptedTest) report(worker string) {
	w := s.workers[worker]
	w.status.Sequence++
	w.status.ClockMilli = s.clockMilli()
	status := w.status
	s.scheduler.Report(&status, s.now)
}

func (s *scriptedTest) commit(commands []jobs.Command) {
	ends := slices.ContainsFunc(commands, func(c jobs.Command) bool { return c.Finish != nil })
	if ends && s.commitErrors > 0 {
		s.commitErrors--
		s.scheduler.Committed(commands, nil, errNotCommitted, s.now)

		return
	}

	results := make([]jobs.Result, 0, len(commands))
	for i := range commands {
		results = append(results, s.state.Apply(&commands[i]))
	}

	s.scheduler.Committed(commands, results, nil, s.now)
}

func (s *scriptedTest) start(start *Start) {
	ref := mill.RunRef{Task: start.Order.Task, Run: start.Order.Run}
	s.workers[start.To.ID].running[ref.Task] = mill.RunStatus{RunRef: ref, Percent: 1}
	s.scheduler.StartAnswered(start, mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: s.clockMilli()}, s.now)
}

func (s *scriptedTest) clockMilli() int64 {
	return 1 + s.now.Sub(simStart).Milliseconds()
}

// pass lets time pass, in which no worker answers a renewal, and plans.
func (s *scriptedTest) pass(length time.Duration) {
	s.now = s.now.Add(length)
	s.plan()
}

// submit submits a job with one step, and returns the workers of its tasks.
func (s *scriptedTest) submit(id string, step mill.Step) []string {
	s.state.Apply(&jobs.Command{Submit: &jobs.Submit{
		Job: id, Queue: "free", UnixMilli: s.now.UnixMilli(), Work: mill.Workload{Steps: []mill.Step{step}},
	}})

	return s.awaitStart(id)
}

// awaitStart plans until all tasks of a job run, and returns their workers.
func (s *scriptedTest) awaitStart(id string) []string {
	for range 500 {
		s.pass(simStep)

		if found := s.workersOf(id); !slices.Contains(found, "") {
			return found
		}
	}

	s.t.Fatalf("job %s does not start", id)

	return nil
}

// workersOf returns the workers of a job's tasks, "" for those that do not run.
func (s *scriptedTest) workersOf(id string) []string {
	job, _ := s.state.Job(id)
	found := make([]string, job.Work.Steps[0].Count)

	for worker, w := range s.workers {
		for task := range w.running {
			if task.Job == id {
				found[task.Index] = worker
			}
		}
	}

	return found
}

// end ends the run of a job's task on its worker, which answers a renewal with that.
func (s *scriptedTest) end(job string, index int, cause mill.FinishCause) {
	task := mill.StepID{Job: job}.Task(index)
	worker := s.workersOf(job)[index]
	w := s.workers[worker]

	number := uint64(len(w.finished) + 1)
	w.finished = append(w.finished, mill.FinishedRun{RunRef: w.running[task].RunRef, Number: number, Cause: cause})
	delete(w.running, task)
	s.answer(worker)
}

// endAll ends the runs of all tasks of a job at the same moment, each with a cause.
func (s *scriptedTest) endAll(job string, causes ...mill.FinishCause) {
	for index, cause := range causes {
		s.end(job, index, cause)
	}

	s.pass(simStep)
}

// progress sets the progress of all tasks of a job, of which their workers tell in their next answers.
func (s *scriptedTest) progress(job string, percent float64) {
	for _, w := range s.workers {
		for task, status := range w.running {
			if task.Job == job {
				status.Percent = percent
				w.running[task] = status
			}
		}
	}
}

// failOn waits for a gang to run, and ends its run as failed on one worker, which breaks the runs of the others.
func (s *scriptedTest) failOn(job, worker string) {
	workers := s.awaitStart(job)
	causes := slices.Repeat([]mill.FinishCause{mill.FinishGangMemberLost}, len(workers))
	causes[slices.Index(workers, worker)] = mill.FinishFailed
	s.endAll(job, causes...)
}

// answer has a worker answer a renewal.
func (s *scriptedTest) answer(worker string) {
	s.scheduler.RenewAnswered(&Renew{To: mill.WorkerRef{ID: worker, Address: worker}}, s.list(worker), s.now, s.now)
}

// list returns a worker's answer to a renewal.
func (s *scriptedTest) list(worker string) *mill.RenewReply {
	w := s.workers[worker]

	return &mill.RenewReply{
		OrderReply:     mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: s.clockMilli()},
		StartUnixMilli: w.status.StartUnixMilli,
		Finished:       w.finished,
		Running:        slices.Collect(maps.Values(w.running)),
	}
}

// worker returns the scheduler's view of a worker.
func (s *scriptedTest) worker(id string) *worker {
	return s.scheduler.workers[id]
}

// quarantined returns the workers that were quarantined.
func (s *scriptedTest) quarantined() []string {
	var found []string

	for _, w := range s.scheduler.workersByID() {
		if w.health.OnProbation() {
			found = append(found, w.status.ID)
		}
	}

	return found
}

// cancel cancels a job whose tasks do not run.
func (s *scriptedTest) cancel(id string) {
	s.state.Apply(&jobs.Command{Cancel: &jobs.Cancel{Job: id}})
	s.pass(simStep)
}

// countEvents returns how many events of a kind there were.
func (s *scriptedTest) countEvents(kind EventKind) int {
	count := 0

	for i := range s.events {
		if s.events[i].Kind == kind {
			count++
		}
	}

	return count
}
