package raft

import "slices"

// minBytesPerTick is the rate at which a large message is expected to be carried: 1.5 Mbit/s at 20 ticks a second, for
// messages that are compressed to a seventh on their way.
const minBytesPerTick = 64 << 10

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
	// largeIndex is the index of the last entry of the latest large message to the server, and largeTicks how long that
	// message may take.
	largeIndex uint64
	largeTicks int
}

// recordSent records that the server was sent a message with that many bytes of data, up to the entry at the index.
func (p *progress) recordSent(index uint64, bytes int) {
	if ticks := bytes / minBytesPerTick; ticks > 0 {
		p.largeIndex, p.largeTicks = index, ticks
	}
}

// transferTicks returns how long a large message that the server has not acknowledged may take beyond the usual. If it is
// lost, the server rejects the next message, and it is sent again at once.
func (p *progress) transferTicks() int {
	if p.matchIndex >= p.largeIndex {
		return 0
	}

	return p.largeTicks
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

	if p.unackedTicks >= resendTicks+p.transferTicks() {
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
