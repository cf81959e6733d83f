package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestContactAgesWhileTicksStandStill guards against a leader that seems to be in contact while a write to its disk hangs:
// no tick is processed then.
func TestContactAgesWhileTicksStandStill(t *testing.T) {
	var c contact

	assert.Assert(t, c.since() > time.Hour, "there was no contact yet")

	const hang = 5 * time.Second

	start := time.Now().Add(-hang)
	for tick := range 3 * tickHistory {
		c.tick(start.Add(time.Duration(tick-3*tickHistory) * TickTime))
	}

	for _, ticksAgo := range []int{0, 1, 10, tickHistory - 1} {
		c.answered(ticksAgo)

		age := c.since() - hang - time.Duration(ticksAgo+1)*TickTime
		assert.Assert(t, age >= 0 && age < time.Minute, "%d ticks: %s", ticksAgo, age)
	}

	c.answered(tickHistory)
	assert.Assert(t, c.since() > time.Hour, "it is not known when that was")
}
