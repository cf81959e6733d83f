package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestLeaderKnowsWorkersBeforeTheyReport restarts all processes while the workers keep running, and
// expects a job submitted then to start before the workers' next reports.
func TestLeaderKnowsWorkersBeforeTheyReport(t *testing.T) {
	sim := newSimulation(t, nil, 4)
	sim.run(500 * time.Millisecond)

	sim.withoutReports = true
	sim.newLeader()
	sim.submit("job", "free", time.Second, mill.Step{Count: 2, PerTask: mill.Resources{MilliCores: 100}})
	sim.run(200 * time.Millisecond)

	job, _ := sim.state.Job("job")
	assert.Assert(t, job.MayHaveStarted)
}

// TestEndedWorkerIsNotRecalled shuts down a worker before all processes restart, and expects no
// placement on it.
func TestEndedWorkerIsNotRecalled(t *testing.T) {
	sim := newSimulation(t, nil, 2)
	sim.run(500 * time.Millisecond)

	gone := sim.executors[0]
	gone.up = false
	sim.leader.scheduler.WorkerLeaving(gone.id, sim.now)
	sim.run(500 * time.Millisecond)

	_, recorded := sim.state.Workers()[gone.id]
	assert.Assert(t, !recorded)

	sim.withoutReports = true
	sim.newLeader()
	sim.submit("job", "free", time.Second, mill.Step{Count: 8, PerTask: mill.Resources{MilliCores: 100}})
	sim.run(time.Second)

	job, _ := sim.state.Job("job")
	for _, task := range job.Occurrences[0].Steps[0].Tasks {
		assert.Equal(t, task.Worker, sim.executors[1].id)
	}
}
