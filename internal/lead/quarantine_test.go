package lead

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestJobDoesNotStandStillBesideQuarantinedWorkers guards against jobs that are not started for as long as all workers with
// room are quarantined or are being tried with one task, after they have recovered.
func TestJobDoesNotStandStillBesideQuarantinedWorkers(t *testing.T) {
	sim := newSimulation(t, nil, 2)
	sim.run(time.Second)

	for _, w := range sim.leader.scheduler.workersByID() {
		for age := 4; age >= 0; age-- {
			w.health.Quarantine(sim.now.Add(time.Duration(-20*age) * time.Second))
		}
	}

	for i := range 8 {
		step := smallStep()
		step.Count = 1
		sim.submit(fmt.Sprintf("job%d", i), "free", 20*time.Second, step)
	}

	sim.run(simCalmTime + 2*simStandstillTime)
}

// TestFailingWorkerIsTriedNowAndThen checks that a worker that fails all is not given task after task because jobs have no
// other room.
func TestFailingWorkerIsTriedNowAndThen(t *testing.T) {
	sim := newSimulation(t, nil, 1)
	sim.executors[0].fails = true
	sim.run(time.Second)

	for i := range 40 {
		step := smallStep()
		step.Count = 1
		sim.submit(fmt.Sprintf("job%02d", i), "free", time.Second, step)
	}

	sim.run(2 * time.Second)

	before := sim.attempts.failedTasks()

	sim.run(20 * time.Second)
	assert.Assert(t, sim.attempts.failedTasks()-before <= 10, "%d tasks failed", sim.attempts.failedTasks()-before)
}
