package raft

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSnapshotIsSentOnce guards against a leader that sends a snapshot again for each message that a new server has rejected
// before the first one reached it: encoding them took its processor and memory, and it lost its followers.
func TestSnapshotIsSentOnce(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.rounds(healRounds)

	leader := c.servers[c.leaders()[0]]

	for range 40 {
		c.propose(leader.name)
		c.round()
	}

	joining := Server{VM: "d", Identity: "new", Address: "d"}
	leader.node.Step(Message{Kind: KindJoin, From: joining})

	sent := 0

	for range 5 {
		leader.node.Step(Message{
			Kind: KindAppendEntriesReply, From: joining, To: leader.disk.Identity(), Term: leader.node.Term(),
		})

		output := leader.node.TakeOutput()
		for _, message := range append(output.BeforeSave, output.AfterSave...) {
			if message.Kind == KindInstallSnapshot && message.To == joining.Identity {
				sent++
			}
		}
	}

	assert.Equal(t, sent, 1)
}
