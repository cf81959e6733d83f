package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowDiskPassesTheLeadOn plays a disk that takes thirty times as long for six
// seconds, and expects the lead to be passed on within a second, and not again and again.
func TestSlowDiskPassesTheLeadOn(t *testing.T) {
	var disk slowDisk

	now := time.Unix(1_800_000_000, 0)
	passed := 0

	for range 100 {
		now = now.Add(9 * time.Millisecond)
		assert.Assert(t, !disk.observe(9*time.Millisecond, now), "a sound disk")
	}

	for slow := now; now.Sub(slow) < 6*time.Second; {
		now = now.Add(270 * time.Millisecond)

		if disk.observe(270*time.Millisecond, now) {
			passed++

			assert.Assert(t, passed > 1 || now.Sub(slow) < time.Second)
		}
	}

	assert.Assert(t, passed <= 2, "the lead was passed on %d times", passed)
}

// TestBusyProcessIsNoSlowDisk expects stores that waited for a processor a few times, as a
// leader under a backlog saw, to change nothing.
func TestBusyProcessIsNoSlowDisk(t *testing.T) {
	var disk slowDisk

	now := time.Unix(1_800_000_000, 0)

	for range 50 {
		for _, took := range []time.Duration{82, 163, 105, 90, 5} {
			assert.Assert(t, !disk.observe(took*time.Millisecond, now))
		}
	}
}

// TestSnapshotIsNoSlowDisk expects single long stores to change nothing.
func TestSnapshotIsNoSlowDisk(t *testing.T) {
	var disk slowDisk

	now := time.Unix(1_800_000_000, 0)

	for range 50 {
		assert.Assert(t, !disk.observe(6*time.Second, now), "a process that was suspended")
		assert.Assert(t, !disk.observe(300*time.Millisecond, now))
		assert.Assert(t, !disk.observe(4*time.Millisecond, now))
	}
}
