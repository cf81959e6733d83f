package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestUnconfirmedStartLeavesItsJobPending has a worker end that never answered a start, and expects the job to be pending.
func TestUnconfirmedStartLeavesItsJobPending(t *testing.T) {
	state, scheduler := benchmarkPool(1)
	benchmarkSubmit(state, "job", "free", 1, 1000)

	now := simStart
	next := func() Actions {
		actions := scheduler.Next(now, now.UnixMilli(), state)
		results := make([]jobs.Result, 0, len(actions.Commands))

		for i := range actions.Commands {
			results = append(results, state.Apply(&actions.Commands[i]))
		}

		scheduler.Committed(actions.Commands, results, nil, now)

		return actions
	}

	next()

	for range maxStartAttempts {
		actions := next()
		assert.Equal(t, len(actions.Starts), 1)

		now = now.Add(time.Second)
		scheduler.StartAnswered(&actions.Starts[0], mill.OrderReply{Outcome: mill.OutcomeUnanswered}, now)
	}

	actions := next()
	assert.Equal(t, len(actions.Stops), 1)
	scheduler.StopAnswered(&actions.Stops[0], mill.OrderReply{Outcome: mill.OutcomeWorkerReplaced}, now)
	next()

	job, _ := state.Job("job")
	assert.Equal(t, job.Placed, 0)

	queue, _ := state.SetupIndex().Queue("free")
	assert.Equal(t, state.Pending(queue), 1)
}
