package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestLongRunningTasksEndProbation guards against workers on probation that took no task while a long-running one was at
// work there, and never left probation, since such a task never succeeds.
func TestLongRunningTasksEndProbation(t *testing.T) {
	sim := newSimulation(t, nil, 2)
	step := mill.Step{
		Count: 2, LongRunning: true, MaxPerWorker: 1, PerTask: mill.Resources{MilliCores: 500, MemoryMiB: 100},
	}
	sim.submit("before", "free", time.Second, step)
	sim.run(2 * time.Second)

	for _, w := range sim.leader.scheduler.workers {
		w.health.Quarantine(sim.now)
	}

	for _, id := range []string{"first", "second", "third"} {
		sim.submit(id, "free", time.Second, step)
	}

	sim.run(9 * time.Second) // A quarantine, and for each job the time that proves the workers.

	for _, e := range sim.executors {
		assert.Equal(t, len(e.running), 4, "%s", e.id)
	}
}
