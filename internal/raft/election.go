package raft

func (n *Node) stepElection(message *Message) {
	switch message.Kind {
	case KindPreVote:
		n.stepPreVote(message)
	case KindPreVoteReply:
		n.stepPreVoteReply(message)
	case KindRequestVote:
		n.stepRequestVote(message)
	case KindRequestVoteReply:
		n.stepRequestVoteReply(message)
	default:
		n.stepTimeoutNow(message)
	}
}

// startPreVote asks the other voters whether they would grant a vote, without
// starting a new term. The membership in which this server is a voter may be
// out of date, so it also sends a join request, which a leader that already
// replicates to this server ignores.
func (n *Node) startPreVote() {
	n.role = preCandidate
	n.leader = Server{}
	n.votes = map[string]bool{n.self.Identity: true}
	n.resetElectionTimeout()

	if n.wonVote() {
		n.becomeCandidate()

		return
	}

	n.requestVotes(KindPreVote, n.term+1)
	n.requestJoin()
}

// becomeCandidate starts a new term, votes for itself and requests votes from the other voters.
func (n *Node) becomeCandidate() {
	n.role = candidate
	n.term++
	n.votedFor = n.self.Identity
	n.votes = map[string]bool{n.self.Identity: true}
	n.writeVote()
	n.resetElectionTimeout()

	if n.wonVote() {
		n.becomeLeader()

		return
	}

	n.requestVotes(KindRequestVote, n.term)
}

func (n *Node) requestVotes(kind MessageKind, term uint64) {
	for _, server := range n.log.membership.Servers {
		if server.Identity == n.self.Identity {
			continue
		}

		n.sendAfterSave(server, Message{
			Kind:     kind,
			Term:     term,
			Index:    n.log.last(),
			PrevTerm: n.log.lastTerm(),
		})
	}
}

func (n *Node) wonVote() bool {
	granted := 0

	for _, server := range n.log.membership.Servers {
		if n.votes[server.Identity] {
			granted++
		}
	}

	return granted >= n.log.membership.Quorum()
}

// stepPreVote rejects a pre-vote within an election timeout of hearing from a
// leader, so that a server that returns from a network partition does not
// depose a leader that the others follow.
func (n *Node) stepPreVote(message *Message) {
	noLeader := n.role != leader && (n.leader.Identity == "" || n.electionElapsed >= electionTicks)
	granted := message.Term > n.term && noLeader && n.upToDate(message)

	reply := Message{Kind: KindPreVoteReply, Granted: granted}
	if granted {
		reply.Term = message.Term
	}

	n.sendAfterSave(message.From, reply)
}

func (n *Node) stepPreVoteReply(message *Message) {
	if n.role != preCandidate || !message.Granted || message.Term != n.term+1 {
		return
	}

	n.votes[message.From.Identity] = true

	if n.wonVote() {
		n.becomeCandidate()
	}
}

func (n *Node) stepRequestVote(message *Message) {
	free := n.votedFor == "" || n.votedFor == message.From.Identity
	granted := message.Term == n.term && free && n.role != leader && n.upToDate(message)

	if granted {
		n.votedFor = message.From.Identity
		n.writeVote()
		n.resetElectionTimeout()
	}

	n.sendAfterSave(message.From, Message{Kind: KindRequestVoteReply, Granted: granted})
}

func (n *Node) stepRequestVoteReply(message *Message) {
	if n.role != candidate || !message.Granted || message.Term != n.term {
		return
	}

	n.votes[message.From.Identity] = true

	if n.wonVote() {
		n.becomeLeader()
	}
}

// upToDate reports whether the candidate's log is at least as up-to-date as this server's log.
func (n *Node) upToDate(message *Message) bool {
	if message.PrevTerm != n.log.lastTerm() {
		return message.PrevTerm > n.log.lastTerm()
	}

	return message.Index >= n.log.last()
}

// TransferLeadership transfers leadership to the voter with the highest match index,
// before a planned stop of this server. It reports whether there was such a voter.
func (n *Node) TransferLeadership() bool {
	if n.role != leader {
		return false
	}

	var next *progress

	for _, p := range n.progress.list {
		if n.log.membership.Has(p.server.Identity) && (next == nil || p.matchIndex > next.matchIndex) {
			next = p
		}
	}

	if next == nil {
		return false
	}

	n.sendBeforeSave(next.server, Message{Kind: KindTimeoutNow})

	return true
}

// stepTimeoutNow starts an election without a pre-vote, since the leader requested it.
func (n *Node) stepTimeoutNow(message *Message) {
	if message.Term == n.term && n.role == follower && n.log.membership.Has(n.self.Identity) {
		n.becomeCandidate()
	}
}
