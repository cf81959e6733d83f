package lead

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// wholeWorker returns a task that needs all accelerators of a simulated worker.
func wholeWorker() mill.Step {
	return mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 4000, Accelerators: 4}}
}

// oneAccelerator returns a task that leaves capacity for others beside it.
func oneAccelerator() mill.Step {
	return mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 500, Accelerators: 1}}
}

// TestNoAdviceRequestsWithoutCapacity fills a pool with long work while more waits, and expects no
// repeated advice requests for tasks that have no capacity.
func TestNoAdviceRequestsWithoutCapacity(t *testing.T) {
	sim := newSimulation(t, nil, 2)

	for _, id := range []string{"full", "wait1", "wait2", "wait3"} {
		sim.submit(id, "advised", 20*time.Second, wholeWorker())
		sim.run(300 * time.Millisecond)
	}

	before := sim.adviceRequests
	sim.run(10 * time.Second)
	assert.Equal(t, sim.adviceRequests, before, "the only worker with accelerators is taken for 20 seconds")
}

// TestCapacityIsReservedWhileAwaitingAdvice has a large step wait for the advisor while small
// steps, which need no advice, keep arriving. It expects the large step to get the capacity that
// becomes free, and not to starve.
func TestCapacityIsReservedWhileAwaitingAdvice(t *testing.T) {
	sim := newSimulation(t, nil, 2)
	sim.submit("small0", "free", time.Second, oneAccelerator())
	sim.run(200 * time.Millisecond)
	sim.submit("large", "advised", time.Second, wholeWorker())

	for index := range 40 {
		sim.submit("small"+string(rune('A'+index)), "free", 500*time.Millisecond, oneAccelerator())
		sim.run(100 * time.Millisecond)
	}

	job, _ := sim.state.Job("large")
	assert.Assert(t, job.MayHaveStarted, "the large step never got a whole worker")
}

// TestQuickAdviceRequestsDoNotWait submits more jobs with slow advice requests than there are
// addresses, and expects one address to be left for a quick request.
func TestQuickAdviceRequestsDoNotWait(t *testing.T) {
	sim := newSimulation(t, nil, 4)
	setup := simSetup()
	setup.Version = 2
	setup.Queues[1].Advice.Decide = 2 * time.Second
	quick := setup.Queues[1]
	quick.Name, quick.Prefix = "quick", "/quick/"
	quick.Advice = &mill.AdvicePolicy{Decide: 10 * time.Millisecond, Validity: simValidity}
	setup.Queues = append(setup.Queues, quick)
	sim.configure(setup)

	for _, address := range []string{"a", "b", "c", "d"} {
		sim.leader.scheduler.AdvisorReachable(address, sim.now)
	}

	for _, id := range []string{"slow1", "slow2", "slow3", "slow4", "slow5", "slow6", "slow7", "slow8"} {
		sim.submit(id, "advised", time.Second, mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 100}})
	}

	sim.run(simStep)
	sim.submit("quick", "quick", time.Second, mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 100}})
	sim.run(simStep)
	assert.Equal(t, sim.adviceRequestsByJob["quick"], 1)
}

// TestGangOfWholeWorkersStarts submits a gang that needs two whole workers, both of which small
// tasks keep filling, and expects it to start.
func TestGangOfWholeWorkersStarts(t *testing.T) {
	sim := newSimulation(t, nil, 12)
	sim.submit("small0", "free", time.Second, oneAccelerator())
	sim.run(200 * time.Millisecond)

	gang := wholeWorker()
	gang.Count, gang.Gang = 2, true
	sim.submit("gang", "advised", time.Second, gang)

	for index := range 60 {
		for more := range 4 {
			sim.submit(fmt.Sprintf("small%d-%d", index, more), "free", 600*time.Millisecond, oneAccelerator())
		}

		sim.run(100 * time.Millisecond)
	}

	job, _ := sim.state.Job("gang")
	assert.Assert(t, job.MayHaveStarted, "the gang never got two whole workers")
}

// TestCheckpointingWorkIsPreempted fills the workers with small checkpointing tasks that have much
// time left. It expects a large urgent task to start long before they finish, and the small ones to
// resume later from their checkpoints.
func TestCheckpointingWorkIsPreempted(t *testing.T) {
	sim := newSimulation(t, nil, 2)

	small := oneAccelerator()
	small.Count, small.Checkpointing = 4, true
	sim.submit("patient", "free", 20*time.Second, small)
	sim.specs["patient"].queue = "free"
	sim.run(time.Second)

	sim.submit("urgent", "advised", time.Second, wholeWorker())
	sim.run(1500 * time.Millisecond)

	job, _ := sim.state.Job("urgent")
	assert.Assert(t, job.MayHaveStarted, "no whole worker was freed")

	sim.run(40 * time.Second)

	preempted, _ := sim.state.Job("patient")
	assert.Equal(t, preempted.State(), mill.JobCompleted)
}
