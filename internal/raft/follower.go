package raft

func (n *Node) stepLog(message *Message) {
	switch message.Kind {
	case KindAppend, KindInstall:
		n.stepFromLeader(message)
	case KindAppendReply:
		n.stepAppendReply(message)
	default:
		n.stepLearn(message)
	}
}

// tickLearner asks every known server for admission until the log says that
// this one is a voter.
func (n *Node) tickLearner() {
	if n.ticks%learnTicks != 0 || n.elapsed < electionTicks {
		return
	}

	n.askToLearn()
}

func (n *Node) askToLearn() {
	for _, server := range n.peers {
		n.sendEarly(server, Message{Kind: KindLearn})
	}
}

func (n *Node) stepFromLeader(message *Message) {
	if message.Term < n.term {
		n.sendLate(message.From, Message{Kind: KindAppendReply})

		return
	}

	n.led = true
	n.follow(message.Term)
	n.leader = message.From

	if message.Kind == KindInstall {
		n.stepInstall(message)
	} else {
		n.stepAppend(message)
	}
}

func (n *Node) stepAppend(message *Message) {
	if !n.matches(message) {
		n.sendLate(message.From, Message{Kind: KindAppendReply, Index: n.commit})

		return
	}

	for i := range message.Entries {
		n.accept(&message.Entries[i])
	}

	matched := message.Prev + uint64(len(message.Entries))
	n.commitTo(min(message.Commit, matched))
	n.sendLate(message.From, Message{Kind: KindAppendReply, Granted: true, Index: matched})
}

// matches reports whether the log has the entry before the message's entries.
func (n *Node) matches(message *Message) bool {
	if message.Prev <= n.commit {
		return true
	}

	term, ok := n.log.termAt(message.Prev)

	return ok && term == message.PrevTerm
}

func (n *Node) accept(entry *Entry) {
	if entry.Index <= n.commit {
		return
	}

	term, ok := n.log.termAt(entry.Index)
	if ok && term == entry.Term {
		return
	}

	if ok {
		n.log.truncate(entry.Index - 1)
		n.saved = min(n.saved, entry.Index-1)
	}

	n.log.append(*entry)
	n.writeEntry(entry)
}

func (n *Node) stepInstall(message *Message) {
	snapshot := message.Snapshot
	if snapshot == nil {
		return
	}

	if snapshot.Index > n.commit {
		n.install(snapshot)
	}

	n.sendLate(message.From, Message{Kind: KindAppendReply, Granted: true, Index: snapshot.Index})
}

func (n *Node) install(snapshot *Snapshot) {
	if err := n.machine.Load(snapshot.Data); err != nil {
		return
	}

	term, ok := n.log.termAt(snapshot.Index)
	if ok && term == snapshot.Term {
		n.log.rebase(snapshot.Index)
	} else {
		n.log.reset(snapshot)
	}

	n.commit = snapshot.Index
	n.saved = min(n.saved, snapshot.Index)
	n.writeSnapshot(snapshot)
}
