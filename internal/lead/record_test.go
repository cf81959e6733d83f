package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestLeaderKnowsWorkersBeforeTheyReport restarts all processes while the workers go on.
// It expects a job that is submitted then to start before the workers' next reports.
func TestLeaderKnowsWorkersBeforeTheyReport(t *testing.T) {
	w := newWorld(t, nil, 4)
	w.run(500 * time.Millisecond)

	w.deaf = true
	w.newLeader()
	w.submit("job", "free", time.Second, mill.Step{Count: 2, PerTask: mill.Resources{MilliCores: 100}})
	w.run(200 * time.Millisecond)

	job, _ := w.state.Job("job")
	assert.Assert(t, job.MayHaveStarted)
}

// TestEndedWorkerIsNotRecalled ends a worker before all processes are restarted, and expects
// no placement on it.
func TestEndedWorkerIsNotRecalled(t *testing.T) {
	w := newWorld(t, nil, 2)
	w.run(500 * time.Millisecond)

	gone := w.executors[0]
	gone.up = false
	w.leader.scheduler.Remove(gone.id, w.now)
	w.run(500 * time.Millisecond)

	_, recorded := w.state.Workers()[gone.id]
	assert.Assert(t, !recorded)

	w.deaf = true
	w.newLeader()
	w.submit("job", "free", time.Second, mill.Step{Count: 8, PerTask: mill.Resources{MilliCores: 100}})
	w.run(time.Second)

	job, _ := w.state.Job("job")
	for _, task := range job.Occurrences[0].Steps[0].Tasks {
		assert.Equal(t, task.Worker, w.executors[1].id)
	}
}
