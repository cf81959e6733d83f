package jobs

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/oracle"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func TestMain(m *testing.M) {
	seeds.RunAndExit(m.Run, 2000)
}

// maxAttempts is the number of failed attempts at a task or a gang after which its job fails.
const maxAttempts = 2

func setup(version uint64, queues ...string) *mill.Setup {
	s := &mill.Setup{Version: version, Services: []mill.Service{{Name: "pool"}}}
	for _, name := range queues {
		s.Queues = append(s.Queues, mill.Queue{
			Name: name, Prefix: "/" + name + "/", Service: "pool", MaxAttempts: maxAttempts, Timeout: 1,
		})
	}

	return s
}

// queueNamed returns the first queue of a name.
func queueNamed(t *testing.T, s *State, name string) *mill.Queue {
	t.Helper()

	queue, ok := s.SetupIndex().Queue(name)
	assert.Assert(t, ok)

	return queue
}

// taskRecord is the model's expectation of one task.
type taskRecord struct {
	run    int
	active bool
	done   bool
	// suspicion is how strongly the leader suspects the task of crashing its workers, since it was cleared.
	suspicion int
}

// givenUp reports whether the task is suspected too strongly, see docs/design/crashes.md.
func (r *taskRecord) givenUp() bool {
	return r.suspicion >= 5
}

// model is an independent model of the state, which predicts the result of every command.
type model struct {
	state   *State
	version uint64
	queues  map[string]bool
	jobs    map[string]mill.Workload
	outcome map[string]mill.JobState
	tasks   map[mill.TaskID]*taskRecord
	// attempts counts the failed attempts of tasks and gangs.
	attempts oracle.Attempts
	// limits holds the limits of the tenants of the setup in force, and submits the submissions of the jobs.
	limits  map[string]mill.Resources
	submits map[string]Submit
}

// TestFuzzState applies random commands, including stale, repeated and meaningless ones, saves and loads
// the state between them, and compares it with the model.
func TestFuzzState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &model{
			state:   NewState(),
			queues:  make(map[string]bool),
			jobs:    make(map[string]mill.Workload),
			outcome: make(map[string]mill.JobState),
			tasks:   make(map[mill.TaskID]*taskRecord),
			submits: make(map[string]Submit),
		}

		t.Repeat(map[string]func(*rapid.T){
			"configure": o.configure,
			"submit":    o.submit,
			"cancel":    o.cancel,
			"place":     o.place,
			"places":    o.place,
			"end":       o.finish,
			"ends":      o.finish,
			"placeGang": o.placeGang,
			"endGang":   o.finishGang,
			"reload":    o.reload,
			"":          o.check,
		})
	})
}

func (o *model) configure(t *rapid.T) {
	version := uint64(rapid.IntRange(1, 20).Draw(t, "version"))
	names := rapid.SampledFrom([][]string{{"a"}, {"a", "b"}, {"b"}}).Draw(t, "queues")
	next := setup(version, names...)
	limits := make(map[string]mill.Resources)

	for _, name := range rapid.SampledFrom([][]string{nil, {"x"}, {"x", "y"}}).Draw(t, "tenants") {
		limits[name] = mill.Resources{MilliCores: int64(rapid.IntRange(0, 3).Draw(t, "limit"))}
		next.Tenants = append(next.Tenants, mill.Tenant{Name: name, MaxRunning: limits[name]})
	}

	result := o.state.Apply(&Command{Setup: next})

	if version <= o.version {
		assert.Equal(t, result, ResultObsolete)

		return
	}

	assert.Equal(t, result, ResultApplied)

	o.version = version
	o.limits = limits
	o.queues = make(map[string]bool)

	for _, name := range names {
		o.queues[name] = true
	}
}

func (o *model) submit(t *rapid.T) {
	id := o.job(t)
	queue := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "queue")
	work := mill.Workload{Steps: []mill.Step{{Count: 2, Gang: rapid.Bool().Draw(t, "gang")}, {Count: 1, After: []int{0}}}}
	submit := Submit{
		Job: id, Queue: queue, Work: work, Tenant: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "tenant"),
		BeyondShare: rapid.Bool().Draw(t, "beyond share"),
	}
	result := o.state.Apply(&Command{Submit: &submit})

	_, exists := o.jobs[id]

	switch {
	case exists:
		assert.Equal(t, result, ResultApplied)
	case !o.queues[queue]:
		assert.Equal(t, result, ResultNoQueue)
	default:
		assert.Equal(t, result, ResultApplied)

		o.jobs[id] = work
		o.submits[id] = submit
	}
}

func (o *model) cancel(t *rapid.T) {
	id := o.job(t)
	result := o.state.Apply(&Command{Cancel: &Cancel{Job: id}})

	if _, ok := o.jobs[id]; !ok {
		assert.Equal(t, result, ResultNotFound)

		return
	}

	if o.outcome[id] == "" {
		o.outcome[id] = mill.JobCanceled
	}
}

func (*model) job(t *rapid.T) string {
	return fmt.Sprintf("job%d", rapid.IntRange(0, 4).Draw(t, "job"))
}

func (o *model) task(t *rapid.T) mill.TaskID {
	step := rapid.IntRange(0, 1).Draw(t, "step")

	return mill.StepID{Job: o.job(t), Step: step}.Task(rapid.IntRange(0, 1-step).Draw(t, "index"))
}

func (o *model) record(id mill.TaskID) *taskRecord {
	if o.tasks[id] == nil {
		o.tasks[id] = &taskRecord{}
	}

	return o.tasks[id]
}

func (o *model) stepDone(job string) bool {
	first := mill.StepID{Job: job}

	return o.record(first.Task(0)).done && o.record(first.Task(1)).done
}

func (o *model) place(t *rapid.T) {
	id := o.task(t)
	o.placeRun(t, id, o.record(id).run+rapid.IntRange(0, 2).Draw(t, "ahead"))
}

// placeGang places all tasks of a first step under one number.
func (o *model) placeGang(t *rapid.T) {
	first := mill.StepID{Job: o.job(t)}
	run := 1 + max(o.record(first.Task(0)).run, o.record(first.Task(1)).run)

	for index := range 2 {
		o.placeRun(t, first.Task(index), run)
	}
}

func (o *model) placeRun(t *rapid.T, id mill.TaskID, run int) {
	record := o.record(id)
	result := o.state.Apply(&Command{Place: &Place{Task: id, Run: run, Worker: "w"}})

	_, exists := o.jobs[id.Job]
	wanted := exists && o.outcome[id.Job] == "" && !record.active && !record.done && run > record.run &&
		(id.Step == 0 || o.stepDone(id.Job))

	if !wanted {
		assert.Equal(t, result, ResultObsolete)

		return
	}

	assert.Equal(t, result, ResultApplied)

	record.run, record.active = run, true
}

func (o *model) finish(t *rapid.T) {
	id := o.task(t)
	record := o.record(id)
	run := max(0, record.run-rapid.IntRange(0, 1).Draw(t, "behind"))
	cause := rapid.SampledFrom([]mill.FinishCause{
		mill.FinishDone, mill.FinishDone, mill.FinishFailed, mill.FinishStopped, mill.FinishNotStarted, mill.FinishWorkerCrashed,
	}).Draw(t, "cause")
	o.finishRun(t, id, run, cause)
}

// finishGang finishes the runs of all tasks of a first step, of which several may have failed.
func (o *model) finishGang(t *rapid.T) {
	first := mill.StepID{Job: o.job(t)}

	for _, index := range rapid.Permutation([]int{0, 1}).Draw(t, "order") {
		cause := rapid.SampledFrom([]mill.FinishCause{
			mill.FinishFailed, mill.FinishFailed, mill.FinishStopped, mill.FinishGangMemberLost, mill.FinishLeaseExpired,
		}).Draw(t, "cause")
		o.finishRun(t, first.Task(index), o.record(first.Task(index)).run, cause)
	}
}

func (o *model) finishRun(t *rapid.T, id mill.TaskID, run int, cause mill.FinishCause) {
	record := o.record(id)
	finish := &Finish{Task: id, Run: run, Cause: cause, Cleared: rapid.IntRange(0, 3).Draw(t, "cleared") == 0}

	if cause == mill.FinishWorkerCrashed && !finish.Cleared {
		finish.Suspicion = rapid.IntRange(0, 3).Draw(t, "suspicion")
		finish.GivesUp = finish.Suspicion > 0 && plan.GivesUp(record.suspicion+finish.Suspicion)
	}

	if job, ok := o.state.Job(id.Job); ok && record.active && job.Work.Steps[id.Step].Gang {
		NewGangRun(job, id.StepID, run).Amend(finish)
	}

	result := o.state.Apply(&Command{Finish: finish})

	if !record.active || run != record.run {
		assert.Equal(t, result, ResultObsolete)

		return
	}

	assert.Equal(t, result, ResultApplied)

	record.active = false

	switch cause {
	case mill.FinishDone:
		o.done(id, run)
	case mill.FinishFailed:
		o.failed(mill.RunRef{Task: id, Run: run})
	default:
	}

	o.crashed(id, finish.Cleared, finish.Suspicion)
}

// crashed records the outcome of a run for what its task is suspected of.
func (o *model) crashed(id mill.TaskID, cleared bool, suspicion int) {
	record := o.record(id)

	if cleared {
		record.suspicion = 0
	}

	record.suspicion += suspicion

	if o.outcome[id.Job] == "" && record.givenUp() {
		o.outcome[id.Job] = mill.JobFailed
	}
}

func (o *model) done(id mill.TaskID, run int) {
	o.record(id).done = true

	if o.jobs[id.Job].Steps[id.Step].Gang {
		for index := range 2 {
			member := o.record(id.Task(index))
			if member.run == run {
				member.done, member.active = true, false
			}
		}
	}

	last := mill.StepID{Job: id.Job, Step: 1}
	if o.outcome[id.Job] == "" && o.stepDone(id.Job) && o.record(last.Task(0)).done {
		o.outcome[id.Job] = mill.JobCompleted
	}
}

func (o *model) failed(run mill.RunRef) {
	gang := o.jobs[run.Task.Job].Steps[run.Task.Step].Gang
	o.attempts.RecordFailed(run, gang)

	if o.outcome[run.Task.Job] == "" && o.attempts.Failed(run.Task, gang) >= maxAttempts {
		o.outcome[run.Task.Job] = mill.JobFailed
	}
}

func (o *model) reload(t *rapid.T) {
	data, err := o.state.Save()
	assert.NilError(t, err)

	next := NewState()
	assert.NilError(t, next.Load(data))

	o.state = next
}

// check compares the jobs as callers see them with the model.
func (o *model) check(t *rapid.T) {
	for id := range o.jobs {
		job, ok := o.state.Job(id)
		assert.Assert(t, ok, "job %s is missing", id)

		if o.outcome[id] != "" {
			assert.Equal(t, job.State(), o.outcome[id])
		} else {
			assert.Assert(t, !job.State().Final(), "job %s is %s", id, job.State())
		}

		assert.Equal(t, job.Tenant, o.submits[id].Tenant)
		assert.Equal(t, job.BeyondShare, o.submits[id].BeyondShare)

		_, open := o.state.OpenJobs()[id]
		assert.Equal(t, open, o.outcome[id] == "" || job.Placed > 0)
	}

	assert.Equal(t, o.state.Len(), len(o.jobs))

	for _, name := range []string{"x", "y"} {
		limit, want := o.limits[name]
		tenant, ok := o.state.SetupIndex().Tenant(name)
		assert.Equal(t, ok, want)
		assert.Assert(t, !ok || tenant.MaxRunning == limit)
	}
}

// TestSubmitTwice checks that a job that is submitted again after it completed does not run again.
func TestSubmitTwice(t *testing.T) {
	s := NewState()
	s.Apply(&Command{Setup: setup(1, "a")})

	work := mill.Workload{Steps: []mill.Step{{Count: 1}}}
	task := mill.StepID{Job: "j"}.Task(0)

	assert.Equal(t, s.Apply(&Command{Submit: &Submit{Job: "j", Queue: "a", Work: work}}), ResultApplied)
	s.Apply(&Command{Place: &Place{Task: task, Run: 1, Worker: "w"}})
	s.Apply(&Command{Finish: &Finish{Task: task, Run: 1, Cause: mill.FinishDone}})
	assert.Equal(t, s.Apply(&Command{Submit: &Submit{Job: "j", Queue: "a", Work: work}}), ResultApplied)

	job, _ := s.Job("j")
	assert.Equal(t, job.State(), mill.JobCompleted)
}

// TestPendingCountsUnstartedJobs checks that a job stops being pending when a run of it is placed, and is
// pending again when that run never started.
func TestPendingCountsUnstartedJobs(t *testing.T) {
	s := NewState()
	s.Apply(&Command{Setup: setup(1, "a")})

	task := mill.StepID{Job: "j"}.Task(0)

	s.Apply(&Command{Submit: &Submit{Job: "j", Queue: "a", Work: mill.Workload{Steps: []mill.Step{{Count: 1}}}}})
	assert.Equal(t, s.Pending(queueNamed(t, s, "a")), 1)

	s.Apply(&Command{Place: &Place{Task: task, Run: 1, Worker: "w"}})
	assert.Equal(t, s.Pending(queueNamed(t, s, "a")), 0)

	s.Apply(&Command{Finish: &Finish{Task: task, Run: 1, Cause: mill.FinishNotStarted}})
	assert.Equal(t, s.Pending(queueNamed(t, s, "a")), 1)
}

// TestOldestOutcomesAreForgotten checks that the number of finished jobs is limited, and that no open
// job is deleted for it.
func TestOldestOutcomesAreForgotten(t *testing.T) {
	s := NewState()
	s.Apply(&Command{Setup: setup(1, "a")})

	work := mill.Workload{Steps: []mill.Step{{Count: 1}}}
	s.Apply(&Command{Submit: &Submit{Job: "open", Queue: "a", Work: work}})

	for index := range MaxFinishedJobs + 1 {
		id := fmt.Sprint(index)
		s.Apply(&Command{Submit: &Submit{Job: id, Queue: "a", Work: work}})
		s.Apply(&Command{Cancel: &Cancel{Job: id}})
	}

	_, open := s.Job("open")
	_, oldest := s.Job("0")
	_, newest := s.Job(fmt.Sprint(MaxFinishedJobs))

	assert.Assert(t, open && newest)
	assert.Assert(t, !oldest)
	assert.Equal(t, s.Len(), MaxFinishedJobs+1)
}

// TestSnapshotContainsRecordedWorkers checks that recorded workers that were not forgotten are still known
// after a restart, so that a new leader can call them.
func TestSnapshotContainsRecordedWorkers(t *testing.T) {
	state := NewState()
	state.Apply(&Command{RecordWorker: &mill.WorkerStatus{ID: "a", Address: "h:1"}})
	state.Apply(&Command{RecordWorker: &mill.WorkerStatus{ID: "b", Address: "h:2"}})
	state.Apply(&Command{ForgetWorker: "a"})

	data, err := state.Save()
	assert.NilError(t, err)

	again := NewState()
	assert.NilError(t, again.Load(data))
	assert.DeepEqual(t, again.Workers(), map[string]*mill.WorkerStatus{"b": {ID: "b", Address: "h:2"}})
}

// TestWaveIsCompleteOnceAllAreSettled checks that a wave started again under the same number keeps its
// state, and that a wave is complete when each of its machines is settled.
func TestWaveIsCompleteOnceAllAreSettled(t *testing.T) {
	state := NewState()
	wave := &mill.Wave{Number: 3, Machines: []string{"b", "a", "b"}, Duration: 1, MaxAtOnce: 1}
	assert.Equal(t, state.Apply(&Command{StartWave: wave}), ResultApplied)
	assert.Equal(t, state.Apply(&Command{SettleMachine: &SettleMachine{Wave: 3, Machine: "c"}}), ResultObsolete)
	assert.Equal(t, state.Apply(&Command{SettleMachine: &SettleMachine{Wave: 3, Machine: "a"}}), ResultApplied)
	assert.Equal(t, state.Apply(&Command{StartWave: wave}), ResultApplied)
	assert.Equal(t, len(state.IncompleteWaves()), 1)

	data, err := state.Save()
	assert.NilError(t, err)
	assert.NilError(t, state.Load(data))
	assert.Equal(t, state.Apply(&Command{SettleMachine: &SettleMachine{Wave: 3, Machine: "b"}}), ResultApplied)
	assert.Equal(t, len(state.IncompleteWaves()), 0)

	found, ok := state.Wave(3)
	assert.Assert(t, ok && found.Complete())
}
