package raft

const (
	// minVoters is the number below which every learner that is ready becomes a voter.
	minVoters = 3
	// maxVoters bounds the voters: two of five may be lost, and a split in halves
	// of six servers leaves one side with a majority.
	maxVoters = 5
	// silentTicks is how long a voter may be silent before a learner takes its place: two
	// seconds, four elections, so that a voter that restarts usually keeps it.
	silentTicks = 4 * electionTicks
)

// changeMembership makes the next step towards a membership that bears the most
// losses, one server at a time.
func (n *Node) changeMembership() {
	if !n.mayChangeMembership() {
		return
	}

	next, ok := n.nextMembership()
	if ok {
		n.add(Entry{Membership: &next})
	}
}

// mayChangeMembership reports whether the last change and an entry of this term are committed.
func (n *Node) mayChangeMembership() bool {
	return n.Current() && n.log.membershipIndex <= n.commit
}

// nextMembership returns the membership that should follow, if another one should.
func (n *Node) nextMembership() (Membership, bool) {
	members := &n.log.membership
	ready := n.readyLearners()

	if lost, ok := n.replaced(ready); ok {
		return members.Without(lost), true
	}

	// Voters are added before another silent one is removed: each that is missing
	// is a loss less that the group bears.
	if len(ready) > 0 && n.wantsVoter(len(ready)) {
		return members.With(ready[0]), true
	}

	if silent, ok := n.silentVoter(); ok && n.canSpare(len(ready)) {
		return members.Without(silent), true
	}

	return Membership{}, false
}

// readyLearners returns the learners that have the log, but for what is on its way,
// and were heard a moment ago.
func (n *Node) readyLearners() []Server {
	var ready []Server

	for _, p := range n.progress.list {
		if !n.log.membership.Has(p.server.Identity) && n.admissible(p) {
			ready = append(ready, p.server)
		}
	}

	return ready
}

func (n *Node) admissible(p *progress) bool {
	// Under load the commit is always a round trip ahead of what a learner acknowledged.
	return p.match+entriesAtOnce >= n.commit && p.match > 0 && p.quiet <= heartbeatTicks && p.server.VM != n.self.VM
}

// replaced returns a voter whose VM has come back without its disk: a VM has one vote.
func (n *Node) replaced(ready []Server) (string, bool) {
	for _, learner := range ready {
		for _, voter := range n.log.membership.Servers {
			if voter.VM == learner.VM {
				return voter.Identity, true
			}
		}
	}

	return "", false
}

// silentVoter returns the voter that has been silent for longest, if for too long.
func (n *Node) silentVoter() (string, bool) {
	silent, quiet := "", silentTicks

	for _, voter := range n.log.membership.Servers {
		p := n.progress.find(voter.Identity)
		if p != nil && p.quiet > quiet {
			silent, quiet = voter.Identity, p.quiet
		}
	}

	return silent, silent != ""
}

// canSpare reports whether a silent voter may be removed: a learner takes its
// place, or an even number of voters bears no more losses than one fewer.
func (n *Node) canSpare(ready int) bool {
	count := len(n.log.membership.Servers)
	if count < minVoters {
		return false
	}

	return ready > 0 || count%2 == 0
}

// wantsVoter reports whether one more voter helps: an even number bears no more
// losses than one fewer, unless the next one comes right after it.
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
