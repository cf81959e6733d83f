package raft

import "slices"

// learnerTimeoutTicks is the time without an answer after which the leader stops replicating to a learner.
const learnerTimeoutTicks = 4 * electionTicks

// becomeLeader appends an empty entry, since a leader can conclude that earlier
// entries are committed only once an entry of its own term is.
func (n *Node) becomeLeader() {
	n.role = leader
	n.leader = n.self
	n.leaderSeen = true
	n.progress = progressTracker{}
	n.trackVoters()
	n.appendEntry(Entry{})
}

// trackVoters adds progress for voters that have none yet.
func (n *Node) trackVoters() {
	for _, server := range n.log.membership.Servers {
		if server.Identity == n.self.Identity || n.progress.find(server.Identity) != nil {
			continue
		}

		n.progress.add(&progress{server: server, nextIndex: n.log.last() + 1})
	}
}

func (n *Node) tickLeader() {
	for _, p := range slices.Clone(n.progress.list) {
		p.ticksSinceReply++
		p.resendIfStalled()

		if p.ticksSinceReply > learnerTimeoutTicks+p.transferTicks() && !n.log.membership.Has(p.server.Identity) {
			n.progress.remove(p.server.Identity)
		}
	}

	if !n.snapshotPending() {
		n.sentSnapshot = nil
	}

	if !n.quorumActive() {
		n.becomeFollower(n.term)
		n.leader = Server{}

		return
	}

	if n.ticks%heartbeatTicks != 0 {
		return
	}

	for _, p := range n.progress.list {
		n.sendEntries(p)
	}

	n.changeMembership()
}

// quorumActive reports whether a majority of voters has answered within an election timeout.
func (n *Node) quorumActive() bool {
	return n.TicksSinceQuorum() <= electionTicks
}

// TicksSinceQuorum returns within how many ticks a majority of the voters has answered this leader. Its own vote counts as
// an answer, as do those with which it was elected.
func (n *Node) TicksSinceQuorum() int {
	ticks := make([]int, 0, len(n.log.membership.Servers))

	for _, server := range n.log.membership.Servers {
		if p := n.progress.find(server.Identity); p != nil {
			ticks = append(ticks, p.ticksSinceReply)
		} else {
			ticks = append(ticks, 0)
		}
	}

	slices.Sort(ticks)

	return ticks[n.log.membership.Quorum()-1]
}

// advanceCommit commits the entries that a majority has stored, once they include one of this term.
func (n *Node) advanceCommit() {
	matches := make([]uint64, 0, len(n.log.membership.Servers))

	for _, server := range n.log.membership.Servers {
		if server.Identity == n.self.Identity {
			matches = append(matches, n.durableIndex)
		} else {
			matches = append(matches, n.progress.find(server.Identity).matchIndex)
		}
	}

	slices.Sort(matches)

	index := matches[len(matches)-n.log.membership.Quorum()]

	if term, ok := n.log.termAt(index); ok && term == n.term {
		n.commitTo(index)
	}
}

func (n *Node) sendEntries(p *progress) {
	prev := p.nextIndex - 1

	term, ok := n.log.termAt(prev)
	if !ok {
		if p.snapshotTicks == 0 {
			n.sendSnapshot(p)
		}

		return
	}

	list := n.log.entriesAfter(prev, maxEntriesPerMessage)
	p.nextIndex += uint64(len(list))
	p.recordSent(p.nextIndex-1, dataBytes(list))

	n.sendBeforeSave(p.server, Message{
		Kind:     KindAppendEntries,
		Prev:     prev,
		PrevTerm: term,
		Entries:  list,
		Commit:   n.commitIndex,
	})
}

// dataBytes returns the size of the data of entries.
func dataBytes(entries []Entry) int {
	bytes := 0
	for i := range entries {
		bytes += len(entries[i].Data)
	}

	return bytes
}

func (n *Node) sendSnapshot(p *progress) {
	snapshot, err := n.snapshotToSend()
	if err != nil {
		return
	}

	p.nextIndex = snapshot.Index + 1
	p.recordSent(snapshot.Index, len(snapshot.Data))
	p.snapshotTicks = snapshotTicks + p.transferTicks()
	n.sendBeforeSave(p.server, Message{Kind: KindInstallSnapshot, Snapshot: snapshot, Commit: n.commitIndex})
}

// snapshotToSend returns the snapshot that was sent last, if the log has the entries after it. Several servers may need one
// at the same time, and encoding the state of a large deployment holds up everything else.
func (n *Node) snapshotToSend() (*Snapshot, error) {
	if n.sentSnapshot != nil && n.sentSnapshot.Index >= n.log.base {
		return n.sentSnapshot, nil
	}

	snapshot, err := n.snapshot()
	if err != nil {
		return nil, err
	}

	n.sentSnapshot = snapshot

	return snapshot, nil
}

// snapshotPending reports whether a snapshot may be on its way to some server.
func (n *Node) snapshotPending() bool {
	return slices.ContainsFunc(n.progress.list, func(p *progress) bool { return p.snapshotTicks > 0 })
}

func (n *Node) stepAppendEntriesReply(message *Message) {
	p := n.progress.find(message.From.Identity)
	if n.role != leader || p == nil || message.Term != n.term {
		return
	}

	p.ticksSinceReply = 0

	if !message.Granted {
		if p.snapshotTicks > 0 {
			return
		}

		p.nextIndex = min(message.Index, n.log.last()) + 1
		n.sendEntries(p)

		return
	}

	if message.Index > p.matchIndex {
		p.matchIndex = message.Index
		p.unackedTicks = 0
		p.snapshotTicks = 0
	}

	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.advanceCommit()

	if p.nextIndex <= n.log.last() {
		n.sendEntries(p)
	}
}

// forwardJoin forwards a join request to the leader, which the sender may not
// know. A request is forwarded once only.
func (n *Node) forwardJoin(message *Message) {
	if message.To != "" || n.leader.Identity == "" || n.leader.Identity == n.self.Identity ||
		n.leader.Identity == message.From.Identity {
		return
	}

	forwarded := *message
	forwarded.To = n.leader.Identity
	forwarded.Address = n.leader.Address
	n.output.BeforeSave = append(n.output.BeforeSave, forwarded)
}

func (n *Node) stepJoin(message *Message) {
	if n.role != leader {
		n.forwardJoin(message)

		return
	}

	// A leader's own request, which it sent as a candidate, may arrive late.
	if message.From.Identity == n.self.Identity || n.progress.find(message.From.Identity) != nil {
		return
	}

	p := &progress{server: message.From, nextIndex: n.log.last() + 1}
	n.progress.add(p)
	n.sendEntries(p)
}
