package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// serving is a lasting task whose tail has a target.
func serving() mill.Step {
	return mill.Step{
		Count: 1, LongRunning: true, TailLatencyTarget: 40 * time.Millisecond,
		PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	}
}

// TestFillersDoNoHarm plays a filler that doubles the tail of the serving task beside it,
// on the only worker that there is. It expects the tail to be under its target again within
// four seconds each time, and the filler to end all the same.
func TestFillersDoNoHarm(t *testing.T) {
	w := newWorld(t, nil, 1)
	w.submit("serving", "free", time.Second, serving())
	w.run(time.Second)
	w.submit("filler", "free", 10*time.Second, mill.Step{
		Count: 1, BestEffort: true, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	})

	over := time.Duration(0)

	for range 6000 {
		w.run(worldStep)

		over += worldStep
		if a := w.executors[0].running[mill.StepID{Job: "serving"}.Task(0)]; a == nil || w.executors[0].gauge(a) < 40 {
			over = 0
		}

		assert.Assert(t, over < 4*time.Second, "the tail is over its target for %s", over)
	}

	job, _ := w.state.Job("filler")
	assert.Equal(t, job.State(), mill.JobCompleted)
}

// TestFillersAreKeptApart expects a filler to go to a worker without serving tasks.
func TestFillersAreKeptApart(t *testing.T) {
	w := newWorld(t, nil, 2)
	w.submit("serving", "free", time.Second, serving())
	w.run(time.Second)
	w.submit("filler", "free", 5*time.Second, mill.Step{
		Count: 1, BestEffort: true, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	})
	w.run(time.Second)

	at := func(job string) string {
		found, _ := w.state.Job(job)

		return found.Occurrences[0].Steps[0].Tasks[0].Worker
	}

	assert.Assert(t, at("serving") != at("filler"))
}
