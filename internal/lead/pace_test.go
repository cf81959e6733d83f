package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// serving returns a long-running task with a tail latency target.
func serving() mill.Step {
	return mill.Step{
		Count: 1, LongRunning: true, TailLatencyTarget: 40 * time.Millisecond,
		PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	}
}

// TestFillersDoNoHarm runs a best-effort task that raises the tail latency of the serving task beside it
// above its target, on the only worker. It expects the latency to be below the target again within
// four seconds each time, and the best-effort task to complete all the same.
func TestFillersDoNoHarm(t *testing.T) {
	sim := newSimulation(t, nil, 1)
	sim.submit("serving", "free", time.Second, serving())
	sim.run(time.Second)
	sim.submit("filler", "free", 10*time.Second, mill.Step{
		Count: 1, BestEffort: true, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	})

	aboveTarget := time.Duration(0)

	for range 6000 {
		sim.run(simStep)

		aboveTarget += simStep
		if a := sim.executors[0].running[mill.StepID{Job: "serving"}.Task(0)]; a == nil || sim.executors[0].tailMilli(a) < 40 {
			aboveTarget = 0
		}

		assert.Assert(t, aboveTarget < 4*time.Second, "the tail is over its target for %s", aboveTarget)
	}

	job, _ := sim.state.Job("filler")
	assert.Equal(t, job.State(), mill.JobCompleted)
}

// TestFillersAreKeptApart expects a best-effort task to be placed on a worker without serving tasks.
func TestFillersAreKeptApart(t *testing.T) {
	sim := newSimulation(t, nil, 2)
	sim.submit("serving", "free", time.Second, serving())
	sim.run(time.Second)
	sim.submit("filler", "free", 5*time.Second, mill.Step{
		Count: 1, BestEffort: true, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	})
	sim.run(time.Second)

	at := func(job string) string {
		found, _ := sim.state.Job(job)

		return found.Occurrences[0].Steps[0].Tasks[0].Worker
	}

	assert.Assert(t, at("serving") != at("filler"))
}
