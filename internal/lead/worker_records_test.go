package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestLeaderKnowsWorkersBeforeTheyReport restarts all processes while the workers keep running, and expects the leader
// to call each of them before their next reports, so that it knows what runs there, and a job submitted then to wait
// for these reports, which tell the workers' capacity, and to start at once when they arrive.
func TestLeaderKnowsWorkersBeforeTheyReport(t *testing.T) {
	sim := newSimulation(t, nil, 4)
	sim.run(500 * time.Millisecond)
	sim.submit("before", "free", 3*time.Second, mill.Step{Count: 2, PerTask: mill.Resources{MilliCores: 100}})
	sim.run(500 * time.Millisecond)

	sim.withoutReports = true
	sim.newLeader()
	sim.submit("job", "free", time.Second, mill.Step{Count: 2, PerTask: mill.Resources{MilliCores: 100}})
	sim.run(200 * time.Millisecond)

	scheduler := sim.leader.scheduler
	for _, e := range sim.executors {
		assert.Assert(t, scheduler.workers[e.id].contacted, "%s", e.id)
	}

	for index := range 2 {
		assert.Equal(t, scheduler.runs[mill.StepID{Job: "before"}.Task(index)].phase, runStarted)
	}

	job, _ := sim.state.Job("job")
	assert.Assert(t, !job.MayHaveStarted)

	sim.run(simReportInterval - 1200*time.Millisecond + 100*time.Millisecond)
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
