package raft

import "slices"

// progress is the leader's view of another server's log.
type progress struct {
	server          Server
	matchIndex      uint64
	nextIndex       uint64
	ticksSinceReply int
	unackedTicks    int
	// snapshotTicks is for how long a snapshot that was sent may still be on its way. What the server rejects meanwhile was
	// sent before it.
	snapshotTicks int
}

// resendIfStalled resets nextIndex when entries have not been acknowledged for
// resendTicks, so that they are sent again.
func (p *progress) resendIfStalled() {
	if p.snapshotTicks > 0 {
		p.snapshotTicks--

		return
	}

	if p.matchIndex+1 >= p.nextIndex {
		p.unackedTicks = 0

		return
	}

	p.unackedTicks++

	if p.unackedTicks >= resendTicks {
		p.unackedTicks = 0
		p.nextIndex = p.matchIndex + 1
	}
}

// progressTracker holds the progress of the other servers in the order in which they were added.
type progressTracker struct {
	list []*progress
}

func (t *progressTracker) find(identity string) *progress {
	for _, p := range t.list {
		if p.server.Identity == identity {
			return p
		}
	}

	return nil
}

func (t *progressTracker) add(p *progress) {
	t.list = append(t.list, p)
}

func (t *progressTracker) remove(identity string) {
	t.list = slices.DeleteFunc(t.list, func(p *progress) bool { return p.server.Identity == identity })
}
