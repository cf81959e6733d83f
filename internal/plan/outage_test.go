package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOutage simulates a call every 100 ms, each with a timeout of 3 s, while there is no leader
// for 4 s. Calls that arrive while a failover may still be in progress wait, and none waits for
// longer than a failover takes.
func TestOutage(t *testing.T) {
	const limit = 3 * time.Second

	var longest time.Duration

	refusedAtOnce := 0

	for arrived := time.Duration(0); arrived < 4*time.Second; arrived += 100 * time.Millisecond {
		waited := time.Duration(0)
		for waited < limit && CallChange.ShouldRetry(arrived+waited, false) {
			waited += 10 * time.Millisecond
		}

		longest = max(longest, waited)

		if waited == 0 {
			refusedAtOnce++
		}
	}

	assert.Equal(t, longest, maxFailoverTime)
	assert.Equal(t, refusedAtOnce, 20)
	assert.Assert(t, RetryAfterOutage() > 0)
}

// TestCallsInAnOutage checks what becomes of calls in a long outage: a read ends, a change ends only if no leader can have
// received it, and a cancellation goes on, since tasks would run on without it.
func TestCallsInAnOutage(t *testing.T) {
	for _, mayHaveArrived := range []bool{false, true} {
		assert.Equal(t, CallRead.ShouldRetry(time.Minute, mayHaveArrived), false)
		assert.Equal(t, CallChange.ShouldRetry(time.Minute, mayHaveArrived), mayHaveArrived)
		assert.Equal(t, CallCancel.ShouldRetry(time.Minute, mayHaveArrived), true)

		for _, kind := range []CallKind{CallRead, CallChange, CallCancel} {
			assert.Assert(t, kind.ShouldRetry(time.Second, mayHaveArrived), "an election takes longer")
		}
	}
}
