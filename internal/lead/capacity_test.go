package lead

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFuzzCapacity runs random jobs on executors whose capacity shrinks and grows while they run, whose reports are
// lost or late, which are disconnected and restart, and which new leaders know only from the log. It expects all work
// to finish once the capacity has grown again.
func TestFuzzCapacity(t *testing.T) {
	seeds.SetChecks(t, 200)

	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, t, 6)
		sim.faultless = false

		draw := &actionDrawer{sim: sim}

		t.Repeat(map[string]func(*rapid.T){
			"submit": draw.submit,
			"cancel": draw.cancel,
			"pass":   draw.advance,
			"resize": draw.resize,
			"lead":   sim.changeLeader,
			"cut":    draw.toggleNetwork,
			"reborn": draw.restart,
			"report": draw.reportFaults,
		})

		sim.recoverAndCheck(60 * time.Second)
	})
}

// TestWaitingWorkStartsAfterGrowth has every executor shrink until no task fits, and expects the jobs submitted then
// to wait without a placement, and to be completed soon after the executors have grown again.
func TestWaitingWorkStartsAfterGrowth(t *testing.T) {
	sim := newSimulation(t, nil, 4)
	sim.run(time.Second)

	for _, e := range sim.executors {
		e.resize(mill.Resources{MilliCores: 400, MemoryMiB: 4000, Accelerators: 1})
	}

	sim.run(2 * simReportInterval)

	// The advisor always allows two workers that can hold the gang.
	steps := map[string]mill.Step{
		"single": {Count: 3, PerTask: mill.Resources{MilliCores: 500, MemoryMiB: 100}},
		"gang":   {Count: 2, PerTask: mill.Resources{MilliCores: 2500, MemoryMiB: 100}, Gang: true},
		"cards":  {Count: 1, PerTask: mill.Resources{MilliCores: 100, MemoryMiB: 100, Accelerators: 4}},
	}
	for _, kind := range slices.Sorted(maps.Keys(steps)) {
		step := steps[kind]
		sim.submit(kind+"-free", "free", 500*time.Millisecond, step)
		sim.submit(kind+"-advised", "advised", 500*time.Millisecond, step)
	}

	sim.run(10 * time.Second)

	for id := range sim.specs {
		job, _ := sim.state.Job(id)
		assert.Assert(t, !job.MayHaveStarted, "%s", id)
	}

	for i, e := range sim.executors {
		e.resize(mill.Resources{MilliCores: simCapacity, MemoryMiB: simCapacity, Accelerators: int64(i % 2 * 4)})
	}

	sim.run(8 * time.Second)

	for id := range sim.specs {
		job, _ := sim.state.Job(id)
		assert.Assert(t, job.Finished(), "%s: %s", id, sim.explain(id))
	}
}

// capacityTest is a scheduler with one worker.
type capacityTest struct {
	t         *testing.T
	state     *jobs.State
	scheduler *Scheduler
	now       time.Time
}

func newCapacityTest(t *testing.T) *capacityTest {
	t.Helper()

	state := jobs.NewState()
	state.Apply(&jobs.Command{Setup: simSetup()})

	scheduler := New(Bounds{MaxLease: simMaxLease}, 1, simStart, state, place.Pack{})

	return &capacityTest{t: t, state: state, scheduler: scheduler, now: simStart}
}

// report has the worker report the number of cores that it has.
func (c *capacityTest) report(startedMilli int64, sequence uint64, cores int64) {
	c.scheduler.Report(c.status(startedMilli, sequence, cores), c.now)
}

// status returns the worker's status with the number of cores that it has.
func (c *capacityTest) status(startedMilli int64, sequence uint64, cores int64) *mill.WorkerStatus {
	return &mill.WorkerStatus{
		ID: "w", StartUnixMilli: startedMilli, Service: "pool", Address: "w", Rack: "r", Labels: []string{"a", "r"},
		Capacity:   mill.Resources{MilliCores: 1000 * cores, MemoryMiB: 4000},
		ClockMilli: 1 + c.now.Sub(simStart).Milliseconds(), Sequence: sequence,
	}
}

// answerRenewal has the worker answer a renewal with the runs that it has.
func (c *capacityTest) answerRenewal(startedMilli int64, running ...mill.RunRef) {
	reply := &mill.RenewReply{
		OrderReply:     mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: 1 + c.now.Sub(simStart).Milliseconds()},
		StartUnixMilli: startedMilli,
	}
	for _, run := range running {
		reply.Running = append(reply.Running, mill.RunStatus{RunRef: run})
	}

	c.scheduler.RenewAnswered(&Renew{To: mill.WorkerRef{ID: "w", Address: "w"}}, reply, c.now, c.now)
}

// pass lets time pass.
func (c *capacityTest) pass(length time.Duration) {
	c.now = c.now.Add(length)
}

// submit submits a job with one task that needs a number of cores.
func (c *capacityTest) submit(id string, cores int64) {
	c.state.Apply(&jobs.Command{Submit: &jobs.Submit{Job: id, Queue: "free", UnixMilli: c.now.UnixMilli(), Work: mill.Workload{
		Steps: []mill.Step{{Count: 1, PerTask: mill.Resources{MilliCores: 1000 * cores}, Estimate: time.Second}},
	}}})
}

// plan plans once, commits what is to be committed and returns the actions.
func (c *capacityTest) plan() Actions {
	actions := c.scheduler.Next(c.now, c.now.UnixMilli(), c.state)

	results := make([]jobs.Result, 0, len(actions.Commands))
	for i := range actions.Commands {
		results = append(results, c.state.Apply(&actions.Commands[i]))
	}

	c.scheduler.Committed(actions.Commands, results, nil, c.now)

	return actions
}

// placed reports whether the job's task is placed.
func (c *capacityTest) placed(id string) bool {
	job, ok := c.state.Job(id)
	assert.Assert(c.t, ok)

	return job.Placed > 0
}

// TestReportsAfterRestartCount restarts a worker under its id with fewer cores, has it answer a renewal before its
// first report, and expects that report to count though its sequence begins again.
func TestReportsAfterRestartCount(t *testing.T) {
	c := newCapacityTest(t)
	c.report(1, 100, 4)

	c.pass(time.Second)
	c.answerRenewal(2)

	c.pass(100 * time.Millisecond)
	c.report(2, 1, 1)

	c.submit("large", 2)
	c.submit("small", 1)
	c.plan()
	assert.Assert(t, !c.placed("large"))
	assert.Assert(t, c.placed("small"))
}

// TestRenewalsDoNotConfirmCapacity has a worker answer renewals without any report, and expects no placement on it once
// its capacity may have shrunk long enough ago to count, and one after its next report.
func TestRenewalsDoNotConfirmCapacity(t *testing.T) {
	c := newCapacityTest(t)
	c.report(1, 1, 4)

	for range 10 {
		c.pass(500 * time.Millisecond)
		c.answerRenewal(1)
	}

	c.submit("job", 2)
	c.plan()
	assert.Assert(t, !c.placed("job"))

	c.report(1, 2, 4)
	c.plan()
	assert.Assert(t, c.placed("job"))
}

// TestRenewalDoesNotTellCapacityAfterRestart has a renewal show that a worker has restarted, and expects no placement
// before its new incarnation has reported its capacity.
func TestRenewalDoesNotTellCapacityAfterRestart(t *testing.T) {
	c := newCapacityTest(t)
	c.report(1, 1, 4)
	c.pass(time.Second)
	c.answerRenewal(2)

	c.submit("job", 2)
	c.plan()
	assert.Assert(t, !c.placed("job"))

	c.report(2, 1, 4)
	c.plan()
	assert.Assert(t, c.placed("job"))
}

// TestLateReportDoesNotConfirmCapacity delivers a report long after it was sent, as the worker's clock shows, and
// expects no placement before a newer one.
func TestLateReportDoesNotConfirmCapacity(t *testing.T) {
	c := newCapacityTest(t)
	c.report(1, 1, 4)

	c.pass(10 * time.Second)
	c.answerRenewal(1)
	c.pass(2 * time.Second)

	late := c.status(1, 2, 4)
	late.ClockMilli = 500
	c.scheduler.Report(late, c.now)

	c.submit("job", 2)
	c.plan()
	assert.Assert(t, !c.placed("job"))

	c.pass(100 * time.Millisecond)
	c.report(1, 3, 4)
	c.plan()
	assert.Assert(t, c.placed("job"))
}

// TestNoStartAfterCapacityShrank places a task on a worker that shrinks before its start is ordered, and expects that it
// is not ordered, and that the task is placed again once the worker has grown.
func TestNoStartAfterCapacityShrank(t *testing.T) {
	c := newCapacityTest(t)
	c.report(1, 1, 4)
	c.submit("job", 2)
	c.plan()
	assert.Assert(t, c.placed("job"))

	c.report(1, 2, 1)

	for range 3 {
		c.pass(100 * time.Millisecond)
		assert.Equal(t, len(c.plan().Starts), 0)
	}

	assert.Assert(t, !c.placed("job"))

	c.report(1, 3, 2)
	c.plan()
	assert.Equal(t, len(c.plan().Starts), 1)
}

// TestNoRetryAfterCapacityShrank has a worker shrink after a start order that it has not answered, and expects that
// the run is stopped instead of ordered again.
func TestNoRetryAfterCapacityShrank(t *testing.T) {
	c := newCapacityTest(t)
	c.report(1, 1, 4)
	c.submit("job", 2)
	c.plan()

	starts := c.plan().Starts
	assert.Equal(t, len(starts), 1)
	c.scheduler.StartAnswered(&starts[0], mill.OrderReply{}, c.now)

	c.report(1, 2, 1)
	c.pass(retryDelay)

	actions := c.plan()
	assert.Equal(t, len(actions.Starts), 0)
	assert.Equal(t, len(actions.Stops), 1)
	assert.Assert(t, c.placed("job"))
}

// TestNoStartWithoutRecentStatus has a start order remain unsent for seconds, in which the worker answers renewals but
// does not report, and expects that the order is given up once the worker's capacity is no longer known.
func TestNoStartWithoutRecentStatus(t *testing.T) {
	c := newCapacityTest(t)
	c.report(1, 1, 4)
	c.submit("job", 2)
	c.plan()

	for range 10 {
		starts := c.plan().Starts
		for i := range starts {
			c.scheduler.StartAnswered(&starts[i], mill.OrderReply{Outcome: mill.OutcomeNotSent}, c.now)
		}

		c.pass(500 * time.Millisecond)
		c.answerRenewal(1)
	}

	assert.Equal(t, len(c.plan().Starts), 0)
	assert.Assert(t, !c.placed("job"))
}

// TestRecordDoesNotTellCapacity has a new leader that knows a worker from the log, and expects no placement before the
// worker has reported its capacity, though it has answered a renewal.
func TestRecordDoesNotTellCapacity(t *testing.T) {
	c := newCapacityTest(t)
	c.report(1, 1, 4)
	c.plan()
	c.pass(10 * time.Second)

	c.scheduler = New(Bounds{MaxLease: simMaxLease}, 2, c.now, c.state, place.Pack{})
	assert.Equal(t, len(c.plan().Renews), 1)
	c.answerRenewal(1)

	c.submit("job", 2)
	c.plan()
	assert.Assert(t, !c.placed("job"))

	c.report(1, 8, 4)
	c.plan()
	assert.Assert(t, c.placed("job"))
}

// TestForwardedStatusDoesNotHideAnAnswer passes on a status that another process received before the worker answered a
// renewal, and expects the worker to count as heard since that answer.
func TestForwardedStatusDoesNotHideAnAnswer(t *testing.T) {
	c := newCapacityTest(t)
	c.report(1, 1, 4)
	c.pass(10 * time.Second)
	c.answerRenewal(1)

	c.scheduler.Report(c.status(1, 2, 4), c.now.Add(-6*time.Second))
	assert.Assert(t, c.scheduler.workers["w"].usable(c.now))
}

// TestUnknownRunCounts has a worker list a run that the state does not know and expects that the worker gets no work,
// because what the run takes is not known, until a list shows that it has been stopped.
func TestUnknownRunCounts(t *testing.T) {
	c := newCapacityTest(t)
	c.report(1, 1, 4)

	unknown := mill.RunRef{Task: mill.StepID{Job: "unknown"}.Task(0), Run: 1}
	c.answerRenewal(1, unknown)
	c.submit("job", 2)

	actions := c.plan()
	assert.Equal(t, len(actions.Stops), 1)
	assert.Assert(t, !c.placed("job"))

	// The stop is acknowledged, but the run is still stopping.
	c.scheduler.StopAnswered(&actions.Stops[0], mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: 1}, c.now)
	c.pass(minRenewInterval)

	actions = c.plan()
	assert.Equal(t, len(actions.Renews), 1)
	assert.Equal(t, actions.Renews[0].Order.LeaseExpiryMilli, int64(0))
	assert.Assert(t, !c.placed("job"))

	c.answerRenewal(1)
	c.plan()
	assert.Assert(t, c.placed("job"))
}

// TestWorkerWithoutCapacityDoesNotCount expects a worker whose report says that it has no capacity to change nothing for
// the others: with it as the smallest worker of the pool every task would count as large.
func TestWorkerWithoutCapacityDoesNotCount(t *testing.T) {
	_, scheduler := benchmarkPool(3)
	scheduler.Report(&mill.WorkerStatus{ID: "odd", Service: "pool", Address: "a", ClockMilli: 1, Sequence: 1}, simStart)

	pool := scheduler.pools(simStart)["pool"]
	assert.Equal(t, len(pool.workers), 3)
	assert.Equal(t, pool.minCapacity, mill.Resources{MilliCores: 4000, MemoryMiB: 4000})
}
