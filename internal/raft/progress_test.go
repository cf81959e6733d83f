package raft

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLargeMessageIsNotSentAgainInTransit guards against large entries and snapshots that are sent again, and again, while
// their first copy is still on a narrow link.
func TestLargeMessageIsNotSentAgainInTransit(t *testing.T) {
	for _, c := range []struct {
		bytes int
		again bool
	}{{1000, true}, {10 * resendTicks * minBytesPerTick, false}} {
		p := &progress{matchIndex: 3, nextIndex: 5}
		p.recordSent(4, c.bytes)

		for range 2 * resendTicks {
			p.resendIfStalled()
		}

		assert.Equal(t, p.nextIndex == 4, c.again, "%d bytes", c.bytes)

		p.matchIndex = 4
		assert.Equal(t, p.transferTicks(), 0, "the message has arrived")
	}
}
