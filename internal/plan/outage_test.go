package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOutage plays callers that come one each 100 ms while the core is without a
// leader for four seconds, each with a limit of three. Those who come while a change
// of leaders may still be going on wait, and no caller waits for longer than that takes.
func TestOutage(t *testing.T) {
	const limit = 3 * time.Second

	var longest time.Duration

	refusedAtOnce := 0

	for came := time.Duration(0); came < 4*time.Second; came += 100 * time.Millisecond {
		waited := time.Duration(0)
		for waited < limit && WaitForLeader(came+waited) {
			waited += 10 * time.Millisecond
		}

		longest = max(longest, waited)

		if waited == 0 {
			refusedAtOnce++
		}
	}

	assert.Equal(t, longest, failoverTime)
	assert.Equal(t, refusedAtOnce, 20)
	assert.Assert(t, RetryAfterOutage() > 0)
}
