package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestDelayedOrderToEarlierIncarnation guards against a start order that was held up, and reaches its worker after the task
// has completed and the worker has started again under its id: an idle worker knew no fencing token, and ran the task again.
func TestDelayedOrderToEarlierIncarnation(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		sim := newSimulation(t, nil, 1)
		e := sim.executors[0]

		sim.submit("job", "free", 100*time.Millisecond, shortStep(1))
		sim.run(2 * time.Second)

		job, _ := sim.state.Job("job")
		assert.Equal(t, job.State(), mill.JobCompleted)

		delayed := &mill.StartOrder{
			Task: firstTask("job"), Run: 1, Spec: "job",
			LeaseExpiryMilli: longerThanTest.Milliseconds(),
			FencingToken:     sim.leader.scheduler.fencingToken(sim.leader.scheduler.workers[e.id]),
		}

		e.crash()

		if newLeader {
			sim.newLeader()
		}

		sim.run(2 * minRestartTime)
		e.comeBack()
		sim.run(simReportInterval + 200*time.Millisecond)

		assert.Equal(t, e.start(delayed, true).Outcome, mill.OutcomeFenced)
	}
}
