package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// longestStandstill is how long a job may have nothing running beside room for it.
const longestStandstill = 3 * time.Second

// smallStep is a step whose tasks fit beside much else.
func smallStep() mill.Step {
	return mill.Step{Count: 4, PerTask: mill.Resources{MilliCores: simCapacity / 16, MemoryMiB: 100}}
}

// assertStarts submits a job, and expects it to start within longestStandstill.
func assertStarts(t *testing.T, sim *simulation, queue string) {
	t.Helper()

	sim.submit("waiting", queue, 30*time.Second, smallStep())
	sim.run(longestStandstill)

	job, _ := sim.state.Job("waiting")
	assert.Assert(t, job.HasStarted || job.Placed > 0, "nothing runs")
}

// fullPool returns a simulation whose pool has an eighth of its capacity left, and in which jobs have ample time.
func fullPool(t *testing.T) *simulation {
	t.Helper()

	const executors = 8

	sim := newSimulation(t, nil, executors)
	setup := simSetup()
	setup.Version++

	for i := range setup.Queues {
		setup.Queues[i].Stretch = 10
	}

	sim.configure(setup)
	sim.run(time.Second)
	sim.submit("full", "free", time.Minute, mill.Step{
		Count: executors, MaxPerWorker: 1, PerTask: mill.Resources{MilliCores: 7 * simCapacity / 8, MemoryMiB: 100},
	})
	sim.run(time.Second)

	return sim
}

// TestJobDoesNotStandStillBehindHeadroom guards against a job with ample time that is not started for as long as its pool is
// nearly full, beside room for it.
func TestJobDoesNotStandStillBehindHeadroom(t *testing.T) {
	for _, queue := range []string{"free", "advised"} {
		assertStarts(t, fullPool(t), queue)
	}
}

// TestOverdueJobStartsOneTask checks that a job that starts beside the order starts one task, and that its others wait
// behind the headroom.
func TestOverdueJobStartsOneTask(t *testing.T) {
	sim := fullPool(t)
	sim.submit("waiting", "free", 30*time.Second, smallStep())
	sim.run(10 * time.Second)

	job, _ := sim.state.Job("waiting")
	assert.Equal(t, job.Placed, 1)
}

// TestJobDoesNotStandStillBehindReservation guards against a job that is not started because the only room is reserved for a
// task that waits for a whole worker.
func TestJobDoesNotStandStillBehindReservation(t *testing.T) {
	sim := newSimulation(t, nil, 4)
	sim.run(time.Second)

	// The worker with room is the one that is empty the soonest.
	sim.submit("small", "free", 40*time.Second, mill.Step{
		Count: 1, PerTask: mill.Resources{MilliCores: simCapacity / 8, MemoryMiB: 100},
	})
	sim.run(time.Second)
	sim.submit("busy", "free", time.Minute, mill.Step{
		Count: 3, PerTask: mill.Resources{MilliCores: simCapacity, MemoryMiB: 100},
	})
	sim.run(time.Second)

	// It starves after a quarter of its objective, and has less time left than the job that waits.
	sim.submit("large", "free", 20*time.Second, mill.Step{
		Count: 1, PerTask: mill.Resources{MilliCores: simCapacity, MemoryMiB: 100},
	})
	sim.run(12 * time.Second)
	assertStarts(t, sim, "free")
}
