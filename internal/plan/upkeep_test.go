package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrainTimeKeepsTheWaveInTime expects machines to be drained for as long as the wave's time
// leaves, and not at all in a wave that is tight.
func TestDrainTimeKeepsTheWaveInTime(t *testing.T) {
	assert.Equal(t, DrainTime(10*time.Second, 20, 4, 2*time.Second), time.Duration(0))
	assert.Equal(t, DrainTime(20*time.Second, 20, 5, 2*time.Second), 1500*time.Millisecond)
	assert.Equal(t, DrainTime(time.Hour, 20, 5, 2*time.Second), drainMost)
}

// TestMayTakeAway expects no more tasks of a step to be away than it can miss.
func TestMayTakeAway(t *testing.T) {
	assert.Assert(t, MayTakeAway(3, 9, 0))
	assert.Assert(t, MayTakeAway(0, 5, 1))
	assert.Assert(t, MayTakeAway(1, 0, 1))
	assert.Assert(t, !MayTakeAway(1, 1, 1))
	assert.Assert(t, !MayTakeAway(2, 0, 1))
}
