package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestStopRefusedByUnhealthyWorker cancels a job whose worker refuses the first stop orders because it is unhealthy,
// having done nothing. It expects them to be sent again until the worker, which is healthy soon after, carries them out.
func TestStopRefusedByUnhealthyWorker(t *testing.T) {
	const job = "0000000000000001"

	sim := newSimulation(t, nil, 1)
	e := sim.executors[0]

	sim.submit(job, "free", longerThanTest,
		mill.Step{Count: 2, PerTask: mill.Resources{MilliCores: 500, MemoryMiB: 100}})
	sim.run(time.Second)
	assert.Equal(t, len(e.running), 2)

	e.refusesStops = true

	sim.cancel(job)
	sim.run(defaultOrderTimeout)

	e.refusesStops = false

	sim.run(simContactTime + simCancelTime + simStopTime + time.Second)
	assert.Equal(t, len(e.running), 0)
}

// TestFuzzCanceledUnhealthy is TestFuzzCanceled with unhealthy workers that refuse half of the stop orders.
func TestFuzzCanceledUnhealthy(t *testing.T) {
	seeds.SetChecks(t, 200)

	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, t, 4)
		sim.shedsStops = true

		fuzzCanceled(t, sim)
	})
}
