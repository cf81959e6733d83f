package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeavingWorkerKeepsTheLeaseOfTheEarlierLeader guards against a task that is started elsewhere while it runs on a worker
// that has announced its shutdown, has answered a new leader, which grants it no lease, and is silent then.
func TestLeavingWorkerKeepsTheLeaseOfTheEarlierLeader(t *testing.T) {
	sim, e := leavingSimulation(t)
	sim.withoutReports = true
	sim.newLeader()
	e.leaveAfter(4 * time.Second)
	sim.run(200 * time.Millisecond)

	e.mute = true

	sim.run(3 * time.Second)
	assert.DeepEqual(t, sim.runningOn(), []string{e.id})
	sim.run(2*simMaxLease + 2*time.Second)
	assert.Equal(t, len(sim.runningOn()), 1)
}
