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

// TestHeartbeatsBeforeASnapshotDoNotRepeatIt guards against a snapshot that is sent once for each heartbeat that was under
// way when it was sent, and against one that is never sent again after it was lost.
func TestHeartbeatsBeforeASnapshotDoNotRepeatIt(t *testing.T) {
	c := newCluster(t, "a")
	node := c.servers["a"].node

	for !node.Leading() {
		c.tick("a")
	}

	p := &progress{server: Server{VM: "b", Identity: "b", Address: "b"}, nextIndex: node.log.last() + 1}
	p.recordSent(node.log.last(), resendTicks*minBytesPerTick)
	node.progress.add(p)

	rejection := Message{Kind: KindAppendEntriesReply, From: p.server, To: node.self.Identity, Term: node.term}

	node.Step(rejection)
	assert.Equal(t, len(node.TakeOutput().BeforeSave), 0, "a heartbeat from before the snapshot")

	for range resendTicks {
		p.resendIfStalled()
	}

	node.Step(rejection)
	assert.Equal(t, len(node.TakeOutput().BeforeSave), 1, "the snapshot is lost")
}
