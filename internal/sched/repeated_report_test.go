package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFailureThatIsReportedAgainCountsOnce has workers report failed tasks in several heartbeats, whose replies are lost,
// while the scheduler does not learn that the ledger has recorded them. It expects each failure to use up one retry.
func TestFailureThatIsReportedAgainCountsOnce(t *testing.T) {
	w := newWorld(t)
	w.submit("job", mill.KindAllAtOnce, 2)
	w.heal(8 * time.Second)

	active := 0
	if w.schedulers[1].active {
		active = 1
	}

	for worker, f := range w.workers {
		if len(f.running) == 0 {
			continue
		}

		for len(f.running) > 0 {
			w.finish(worker, mill.TaskFailed)
		}

		w.links[active].loseNextReply = true

		for range 3 {
			w.heartbeat(worker, active, 0, true)
			w.plan(active)
		}

		w.heartbeat(worker, 1-active, 0, true)
	}

	w.heal(2 * time.Second)

	job, ok := w.ledger.state.Find("job")
	assert.Assert(t, ok)

	for i := range job.Tasks {
		assert.Equal(t, job.Tasks[i].Failures, 1)
		assert.Equal(t, job.Tasks[i].Attempt, 2)
	}
}
