package lead

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStandstillsAreDescribedOnce checks that jobs that nobody can ask the advisor about are counted, and described once
// each with the reason, some with each summary.
func TestStandstillsAreDescribedOnce(t *testing.T) {
	const standing = maxStandstillLines + 3

	state, scheduler := benchmarkPool(4)
	for i := range standing {
		benchmarkSubmit(state, fmt.Sprintf("job%02d", i), "advised", 1, 1000)
	}

	summaries := make([]Summary, 0, 9)

	for second := range cap(summaries) {
		now := simStart.Add(time.Duration(second) * time.Second)
		for _, w := range scheduler.workersByID() {
			w.lastHeard, w.statusSentAt = now, now
		}

		scheduler.Next(now, now.UnixMilli(), state)
		summaries = append(summaries, scheduler.Summary(now, state))
	}

	// The jobs are idle for over plan.MaxIdleWait after two seconds, and have had room for three more after five.
	assert.Equal(t, summaries[4].StandingJobs, 0)
	assert.Equal(t, summaries[5].StandingJobs, standing)
	assert.Equal(t, len(summaries[5].Standstills), maxStandstillLines)
	assert.Equal(t, summaries[5].Standstills[0].Reason, StandstillNotAsked)
	assert.Equal(t, len(summaries[6].Standstills), standing-maxStandstillLines)
	assert.Equal(t, summaries[7].StandingJobs, standing)
	assert.Equal(t, len(summaries[7].Standstills), 0)
}
