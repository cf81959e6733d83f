package lead

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
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

// submitGangs submits gangs that have no room in a full pool.
func submitGangs(sim *simulation, queue string, count int) {
	for i := range count {
		sim.submit(fmt.Sprintf("gang%03d", i), queue, 10*time.Second, mill.Step{
			Count: 6, Gang: true, PerTask: mill.Resources{MilliCores: simCapacity / 8, MemoryMiB: 100},
		})
	}
}

// TestJobDoesNotStandStillBehindGangs guards against a job that is not started because too many gangs without room come
// first.
func TestJobDoesNotStandStillBehindGangs(t *testing.T) {
	for _, queue := range []string{"free", "advised"} {
		for _, gangs := range []int{15, 16, 40, 120, 400} {
			t.Run(fmt.Sprintf("%s/%d", queue, gangs), func(t *testing.T) {
				sim := fullPool(t)
				submitGangs(sim, queue, gangs)
				sim.run(time.Second)
				assertStarts(t, sim, queue)
			})
		}
	}
}

// TestJobWithSuspectedTaskDoesNotStandStill guards against a job that is not started because some of its tasks are
// suspected of having crashed a worker.
func TestJobWithSuspectedTaskDoesNotStandStill(t *testing.T) {
	for suspected := 1; suspected <= 4; suspected++ {
		t.Run(fmt.Sprint(suspected), func(t *testing.T) {
			sim := fullPool(t)
			sim.submit("waiting", "free", 30*time.Second, smallStep())

			for index := range suspected {
				task := mill.StepID{Job: "waiting"}.Task(index)
				sim.state.Apply(&jobs.Command{Place: &jobs.Place{Task: task, Run: 1, Worker: "x00"}})
				sim.state.Apply(&jobs.Command{Finish: &jobs.Finish{
					Task: task, Run: 1, Cause: mill.FinishWorkerCrashed, Suspicion: 1,
				}})
			}

			sim.run(longestStandstill)

			job, _ := sim.state.Job("waiting")
			assert.Assert(t, job.Placed > 0, "nothing runs")
		})
	}
}

// TestLateJobDoesNotStandStillBesideShortTasks guards against a job that is not started because all the room that short
// tasks leave and take again goes to those.
func TestLateJobDoesNotStandStillBesideShortTasks(t *testing.T) {
	sim := newSimulation(t, nil, 8)
	sim.run(time.Second)

	submitted := 0

	var stream func()

	stream = func() {
		submitted++
		sim.submit(fmt.Sprintf("short%03d", submitted), "free", 300*time.Millisecond, mill.Step{
			Count: 16, PerTask: smallStep().PerTask,
		})
		sim.after(50*time.Millisecond, stream)
	}

	stream()
	sim.run(2 * time.Second)

	// So late that its completion has no value any more.
	for i := range 4 {
		id := fmt.Sprintf("late%d", i)
		sim.submit(id, "free", time.Second, smallStep())

		job, _ := sim.state.Job(id)
		job.UnixMilli -= time.Minute.Milliseconds()
	}

	sim.run(simCalmTime + 3*simStandstillTime)
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
