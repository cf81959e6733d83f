package raft

func (n *Node) stepReplication(message *Message) {
	switch message.Kind {
	case KindAppendEntries, KindInstallSnapshot:
		n.stepFromLeader(message)
	case KindAppendEntriesReply:
		n.stepAppendEntriesReply(message)
	default:
		n.stepJoin(message)
	}
}

// tickLearner sends join requests to every known server until this server is a
// voter in its log.
func (n *Node) tickLearner() {
	if n.ticks%joinTicks != 0 || n.electionElapsed < electionTicks {
		return
	}

	n.requestJoin()
}

func (n *Node) requestJoin() {
	for _, server := range n.peers {
		n.sendBeforeSave(server, Message{Kind: KindJoin})
	}
}

func (n *Node) stepFromLeader(message *Message) {
	if message.Term < n.term {
		n.sendAfterSave(message.From, Message{Kind: KindAppendEntriesReply})

		return
	}

	n.leaderSeen = true
	n.becomeFollower(message.Term)
	n.leader = message.From

	if message.Kind == KindInstallSnapshot {
		n.stepInstallSnapshot(message)
	} else {
		n.stepAppendEntries(message)
	}
}

func (n *Node) stepAppendEntries(message *Message) {
	if !n.hasPreviousEntry(message) {
		n.sendAfterSave(message.From, Message{Kind: KindAppendEntriesReply, Index: n.commitIndex})

		return
	}

	for i := range message.Entries {
		n.appendFromLeader(&message.Entries[i])
	}

	matched := message.Prev + uint64(len(message.Entries))
	n.commitTo(min(message.Commit, matched))
	n.sendAfterSave(message.From, Message{Kind: KindAppendEntriesReply, Granted: true, Index: matched})
}

// hasPreviousEntry reports whether the log contains the entry that precedes the message's entries.
func (n *Node) hasPreviousEntry(message *Message) bool {
	if message.Prev <= n.commitIndex {
		return true
	}

	term, ok := n.log.termAt(message.Prev)

	return ok && term == message.PrevTerm
}

func (n *Node) appendFromLeader(entry *Entry) {
	if entry.Index <= n.commitIndex {
		return
	}

	term, ok := n.log.termAt(entry.Index)
	if ok && term == entry.Term {
		return
	}

	if ok {
		n.log.truncate(entry.Index - 1)
		n.durableIndex = min(n.durableIndex, entry.Index-1)
	}

	n.log.append(*entry)
	n.writeEntry(entry)
}

func (n *Node) stepInstallSnapshot(message *Message) {
	snapshot := message.Snapshot
	if snapshot == nil {
		return
	}

	if snapshot.Index > n.commitIndex {
		n.installSnapshot(snapshot)
	}

	n.sendAfterSave(message.From, Message{Kind: KindAppendEntriesReply, Granted: true, Index: snapshot.Index})
}

func (n *Node) installSnapshot(snapshot *Snapshot) {
	if err := n.stateMachine.Load(snapshot.Data); err != nil {
		return
	}

	term, ok := n.log.termAt(snapshot.Index)
	if ok && term == snapshot.Term {
		n.log.discardThrough(snapshot.Index)
	} else {
		n.log.restore(snapshot)
	}

	n.commitIndex = snapshot.Index
	n.durableIndex = min(n.durableIndex, snapshot.Index)
	n.writeSnapshot(snapshot)
}
