package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCadence expects quick plans to be spaced, and the time without plans after long ones to stay in proportion: with
// eight times a long plan as its pause, a backlog kept itself up.
func TestCadence(t *testing.T) {
	for _, test := range []struct{ took, rest time.Duration }{
		{0, minRest},
		{500 * time.Microsecond, 8 * time.Millisecond},
		{2 * time.Millisecond, maxSpacing},
		{50 * time.Millisecond, 150 * time.Millisecond},
	} {
		var c cadence

		c.planned(simStart, test.took)
		assert.Assert(t, !c.planDue(simStart.Add(test.took+test.rest-1)))
		assert.Assert(t, c.planDue(simStart.Add(test.took+test.rest)))
	}
}

// TestRestAfter expects no pause between two dispatches to be longer than after a quick plan.
func TestRestAfter(t *testing.T) {
	assert.Equal(t, restAfter(0), minRest)
	assert.Equal(t, restAfter(500*time.Microsecond), 8*time.Millisecond)
	assert.Equal(t, restAfter(50*time.Millisecond), maxSpacing)
}
