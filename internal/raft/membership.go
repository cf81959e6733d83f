package raft

const (
	// minVoters is the number of voters below which every ready learner is promoted.
	minVoters = 3
	// maxVoters is the maximum number of voters. Five voters tolerate two failures,
	// and when six servers are partitioned into halves one side has a majority.
	maxVoters = 5
	// unreachableTicks is the time without an answer after which a learner replaces a
	// voter: two seconds, or four election timeouts, so that a voter that restarts
	// usually stays a voter.
	unreachableTicks = 4 * electionTicks
)

// changeMembership adds or removes one server, towards the membership that
// tolerates the most failures.
func (n *Node) changeMembership() {
	if !n.canChangeMembership() {
		return
	}

	next, ok := n.nextMembership()
	if ok {
		n.appendEntry(Entry{Membership: &next})
	}
}

// canChangeMembership reports whether the last membership change and an entry of this term are committed.
func (n *Node) canChangeMembership() bool {
	return n.CommittedInTerm() && n.log.membershipIndex <= n.commitIndex
}

// nextMembership returns the next membership, if a change is needed.
func (n *Node) nextMembership() (Membership, bool) {
	members := &n.log.membership
	ready := n.readyLearners()

	if lost, ok := n.replacedVoter(ready); ok {
		return members.Without(lost), true
	}

	// Add voters before removing another unreachable one, since with each missing
	// voter the group tolerates one failure less.
	if len(ready) > 0 && n.wantsVoter(len(ready)) {
		return members.With(ready[0]), true
	}

	if unreachable, ok := n.unreachableVoter(); ok && n.canRemoveUnreachable(len(ready)) {
		return members.Without(unreachable), true
	}

	return Membership{}, false
}

// readyLearners returns the learners that answered recently and have the log
// except for entries in flight.
func (n *Node) readyLearners() []Server {
	var ready []Server

	for _, p := range n.progress.list {
		if !n.log.membership.Has(p.server.Identity) && n.caughtUp(p) {
			ready = append(ready, p.server)
		}
	}

	return ready
}

func (n *Node) caughtUp(p *progress) bool {
	// Under load the commit index is always a round trip ahead of what a learner has acknowledged.
	return p.matchIndex+maxEntriesPerMessage >= n.commitIndex && p.matchIndex > 0 &&
		p.ticksSinceReply <= heartbeatTicks && p.server.VM != n.self.VM
}

// replacedVoter returns a voter whose VM has rejoined without its disk, since a VM has one vote.
func (n *Node) replacedVoter(ready []Server) (string, bool) {
	for _, learner := range ready {
		for _, voter := range n.log.membership.Servers {
			if voter.VM == learner.VM {
				return voter.Identity, true
			}
		}
	}

	return "", false
}

// unreachableVoter returns the voter that has not answered for the longest time, if above the limit.
func (n *Node) unreachableVoter() (string, bool) {
	identity, ticks := "", unreachableTicks

	for _, voter := range n.log.membership.Servers {
		p := n.progress.find(voter.Identity)
		if p != nil && p.ticksSinceReply > ticks {
			identity, ticks = voter.Identity, p.ticksSinceReply
		}
	}

	return identity, identity != ""
}

// canRemoveUnreachable reports whether an unreachable voter may be removed:
// either a learner can replace it, or the number of voters is even and
// tolerates no more failures than one voter fewer.
func (n *Node) canRemoveUnreachable(ready int) bool {
	count := len(n.log.membership.Servers)
	if count < minVoters {
		return false
	}

	return ready > 0 || count%2 == 0
}

// wantsVoter reports whether to add a voter. An even number of voters tolerates
// no more failures than one fewer, so a second ready learner must follow.
func (n *Node) wantsVoter(ready int) bool {
	count := len(n.log.membership.Servers)

	switch {
	case count < minVoters:
		return true
	case count >= maxVoters:
		return false
	default:
		return count%2 == 0 || ready > 1
	}
}
