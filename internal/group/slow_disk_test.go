package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowDiskPassesTheLeadOn simulates a disk that takes thirty times as long for six seconds,
// and checks that leadership is transferred within a second, and not repeatedly.
func TestSlowDiskPassesTheLeadOn(t *testing.T) {
	var detector slowDiskDetector

	now := time.Unix(1_800_000_000, 0)
	transfers := 0

	for range 100 {
		now = now.Add(9 * time.Millisecond)
		assert.Assert(t, !detector.observe(9*time.Millisecond, now), "a healthy disk")
	}

	for slowSince := now; now.Sub(slowSince) < 6*time.Second; {
		now = now.Add(270 * time.Millisecond)

		if detector.observe(270*time.Millisecond, now) {
			transfers++

			assert.Assert(t, transfers > 1 || now.Sub(slowSince) < time.Second)
		}
	}

	assert.Assert(t, transfers <= 2, "leadership was transferred %d times", transfers)
}

// TestBusyProcessIsNoSlowDisk checks that stores that waited for a processor a few times, as
// observed on a leader with a backlog, do not trigger a transfer.
func TestBusyProcessIsNoSlowDisk(t *testing.T) {
	var detector slowDiskDetector

	now := time.Unix(1_800_000_000, 0)

	for range 50 {
		for _, took := range []time.Duration{82, 163, 105, 90, 5} {
			assert.Assert(t, !detector.observe(took*time.Millisecond, now))
		}
	}
}

// TestSnapshotIsNoSlowDisk checks that single long stores do not trigger a transfer.
func TestSnapshotIsNoSlowDisk(t *testing.T) {
	var detector slowDiskDetector

	now := time.Unix(1_800_000_000, 0)

	for range 50 {
		assert.Assert(t, !detector.observe(6*time.Second, now), "a suspended process")
		assert.Assert(t, !detector.observe(300*time.Millisecond, now))
		assert.Assert(t, !detector.observe(4*time.Millisecond, now))
	}
}
