package raft

func (n *Node) stepElection(message *Message) {
	switch message.Kind {
	case KindPreVote:
		n.stepPreVote(message)
	case KindPreVoteReply:
		n.stepPreVoteReply(message)
	case KindVote:
		n.stepVote(message)
	case KindVoteReply:
		n.stepVoteReply(message)
	default:
		n.stepTimeoutNow(message)
	}
}

// campaign asks whether an election could be won before it disturbs the term.
// The membership that makes this server a voter may have been replaced, so it
// also asks for admission: a leader that knows it takes no notice of that.
func (n *Node) campaign() {
	n.role = preCandidate
	n.leader = Server{}
	n.votes = map[string]bool{n.self.Identity: true}
	n.resetTimeout()

	if n.won() {
		n.stand()

		return
	}

	n.askForVotes(KindPreVote, n.term+1)
	n.askToLearn()
}

// stand votes for itself in a new term and asks the others to.
func (n *Node) stand() {
	n.role = candidate
	n.term++
	n.votedFor = n.self.Identity
	n.votes = map[string]bool{n.self.Identity: true}
	n.writeVote()
	n.resetTimeout()

	if n.won() {
		n.lead()

		return
	}

	n.askForVotes(KindVote, n.term)
}

func (n *Node) askForVotes(kind MessageKind, term uint64) {
	for _, server := range n.log.membership.Servers {
		if server.Identity == n.self.Identity {
			continue
		}

		n.sendLate(server, Message{
			Kind:     kind,
			Term:     term,
			Index:    n.log.last(),
			PrevTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) won() bool {
	granted := 0

	for _, server := range n.log.membership.Servers {
		if n.votes[server.Identity] {
			granted++
		}
	}

	return granted >= n.log.membership.Quorum()
}

// stepPreVote grants unless a leader has been heard from lately, so that a
// server back from a cut does not depose a leader that the others follow.
func (n *Node) stepPreVote(message *Message) {
	quiet := n.role != leader && (n.leader.Identity == "" || n.elapsed >= electionTicks)
	granted := message.Term > n.term && quiet && n.upToDate(message)

	reply := Message{Kind: KindPreVoteReply, Granted: granted}
	if granted {
		reply.Term = message.Term
	}

	n.sendLate(message.From, reply)
}

func (n *Node) stepPreVoteReply(message *Message) {
	if n.role != preCandidate || !message.Granted || message.Term != n.term+1 {
		return
	}

	n.votes[message.From.Identity] = true

	if n.won() {
		n.stand()
	}
}

func (n *Node) stepVote(message *Message) {
	free := n.votedFor == "" || n.votedFor == message.From.Identity
	granted := message.Term == n.term && free && n.role != leader && n.upToDate(message)

	if granted {
		n.votedFor = message.From.Identity
		n.writeVote()
		n.resetTimeout()
	}

	n.sendLate(message.From, Message{Kind: KindVoteReply, Granted: granted})
}

func (n *Node) stepVoteReply(message *Message) {
	if n.role != candidate || !message.Granted || message.Term != n.term {
		return
	}

	n.votes[message.From.Identity] = true

	if n.won() {
		n.lead()
	}
}

// upToDate reports whether the candidate's log is at least as new as this one.
func (n *Node) upToDate(message *Message) bool {
	if message.PrevTerm != n.log.lastTerm() {
		return message.PrevTerm > n.log.lastTerm()
	}

	return message.Index >= n.log.last()
}

// HandOver tells the voter with the longest log to take the lead, before this
// server stops as planned, and reports whether there was one.
func (n *Node) HandOver() bool {
	if n.role != leader {
		return false
	}

	var next *progress

	for _, p := range n.progress.list {
		if n.log.membership.Has(p.server.Identity) && (next == nil || p.match > next.match) {
			next = p
		}
	}

	if next == nil {
		return false
	}

	n.sendEarly(next.server, Message{Kind: KindTimeoutNow})

	return true
}

// stepTimeoutNow stands for election without asking first: the leader wants it.
func (n *Node) stepTimeoutNow(message *Message) {
	if message.Term == n.term && n.role == follower && n.log.membership.Has(n.self.Identity) {
		n.stand()
	}
}
