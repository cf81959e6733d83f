package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestCrashThatLosesTheAnswerCounts plays a task whose executor crashes before its answer to the start order has arrived, as
// always where orders go out in replies to reports. It expects the job to fail after three crashes at the most.
func TestCrashThatLosesTheAnswerCounts(t *testing.T) {
	sim := newSimulation(t, nil, 6)
	sim.faultless = false
	sim.crashesUnanswered = true
	sim.submitCrashing("crashing", 1)
	sim.run(40 * time.Second)

	job, _ := sim.state.Job("crashing")
	assert.Equal(t, job.Outcome, mill.JobFailed)
}

// TestCrashOfWorkersThatStayAwayCounts plays a task that crashes each executor that starts it, none of which is back within
// the lease. It expects the job to fail after three crashes at the most.
func TestCrashOfWorkersThatStayAwayCounts(t *testing.T) {
	sim := newSimulation(t, nil, 12)
	sim.faultless = false
	sim.staysAway = true
	sim.submitCrashing("crashing", 1)
	sim.run(80 * time.Second)

	job, _ := sim.state.Job("crashing")
	assert.Equal(t, job.Outcome, mill.JobFailed)
}

// TestLateCrashCounts plays a task that crashes each executor that starts it half a second after the start. It expects the
// job to fail after three crashes at the most.
func TestLateCrashCounts(t *testing.T) {
	sim := newSimulation(t, nil, 6)
	sim.faultless = false
	sim.crashDelay = 500 * time.Millisecond
	sim.submitCrashing("crashing", 1)
	sim.specs["crashing"].duration = 5 * time.Second
	sim.run(60 * time.Second)

	job, _ := sim.state.Job("crashing")
	assert.Equal(t, job.Outcome, mill.JobFailed)
}

// TestFinishedRunIsNotSuspected has an executor finish a task, crash before the leader has read that, and come back, twice.
// No executor crashes under the task, so its job must not fail.
func TestFinishedRunIsNotSuspected(t *testing.T) {
	sim := newSimulation(t, nil, 1)
	sim.faultless = false
	e := sim.executors[0]
	task := firstTask("job")

	sim.run(time.Second)
	sim.submit("job", "free", 100*time.Millisecond, shortStep(1))

	for range 2 {
		awaitStart(t, sim, e, task)
		sim.run(30 * time.Millisecond) // The answer arrives.

		e.mute = true

		sim.run(300 * time.Millisecond)
		assert.Equal(t, len(e.running), 0)
		e.crash()
		sim.run(time.Second)

		e.mute = false

		e.comeBack()
	}

	sim.run(5 * time.Second)
	assert.Equal(t, sim.losses[task], 0)

	job, _ := sim.state.Job("job")
	assert.Equal(t, job.Outcome, mill.JobCompleted)
}

// awaitStart runs the simulation until an executor has a task.
func awaitStart(t *testing.T, sim *simulation, e *executor, task mill.TaskID) {
	t.Helper()

	for range 1000 {
		if _, ok := e.running[task]; ok {
			return
		}

		sim.run(simStep)
	}

	t.Fatalf("%s: the task does not start\n%s", sim.elapsed(), sim.explain(task.Job))
}
