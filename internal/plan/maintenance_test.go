package plan

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrainTime checks that machines are drained for as long as the wave's duration
// allows, and not at all if it allows no time.
func TestDrainTime(t *testing.T) {
	assert.Equal(t, DrainTime(10*time.Second, 20, 4, 2*time.Second), time.Duration(0))
	assert.Equal(t, DrainTime(20*time.Second, 20, 5, 2*time.Second), 1500*time.Millisecond)
	assert.Equal(t, DrainTime(time.Hour, 20, 5, 2*time.Second), maxDrainTime)
	// A limit this large once made the number of rounds overflow, and its division ended each leader in turn.
	assert.Equal(t, DrainTime(10*time.Second, 20, math.MaxInt, 2*time.Second), maxDrainTime)
}

// TestMayInterrupt checks that no more tasks of a step become unavailable than it allows.
func TestMayInterrupt(t *testing.T) {
	assert.Assert(t, MayInterrupt(3, 9, 0))
	assert.Assert(t, MayInterrupt(0, 5, 1))
	assert.Assert(t, MayInterrupt(1, 0, 1))
	assert.Assert(t, !MayInterrupt(1, 1, 1))
	assert.Assert(t, !MayInterrupt(2, 0, 1))
}
