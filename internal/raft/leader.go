package raft

import "slices"

// learnerTicks is how long a learner may be silent before it is forgotten.
const learnerTicks = 4 * electionTicks

// lead starts the term with an entry of its own, since only an entry of the
// current term shows that those before it are committed.
func (n *Node) lead() {
	n.role = leader
	n.leader = n.self
	n.led = true
	n.progress = progresses{}
	n.syncProgress()
	n.add(Entry{})
}

// syncProgress follows the membership.
func (n *Node) syncProgress() {
	for _, server := range n.log.membership.Servers {
		if server.Identity == n.self.Identity || n.progress.find(server.Identity) != nil {
			continue
		}

		n.progress.add(&progress{server: server, next: n.log.last() + 1})
	}
}

func (n *Node) tickLeader() {
	for _, p := range slices.Clone(n.progress.list) {
		p.quiet++
		p.retry()

		if p.quiet > learnerTicks && !n.log.membership.Has(p.server.Identity) {
			n.progress.remove(p.server.Identity)
		}
	}

	if !n.hearsQuorum() {
		n.follow(n.term)
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

// hearsQuorum reports whether a majority has answered within an election time.
func (n *Node) hearsQuorum() bool {
	heard := 0

	for _, server := range n.log.membership.Servers {
		p := n.progress.find(server.Identity)
		if p == nil || p.quiet <= electionTicks {
			heard++
		}
	}

	return heard >= n.log.membership.Quorum()
}

// advance commits what a majority has stored, once that includes an entry of this term.
func (n *Node) advance() {
	matches := make([]uint64, 0, len(n.log.membership.Servers))

	for _, server := range n.log.membership.Servers {
		if server.Identity == n.self.Identity {
			matches = append(matches, n.saved)
		} else {
			matches = append(matches, n.progress.find(server.Identity).match)
		}
	}

	slices.Sort(matches)

	index := matches[len(matches)-n.log.membership.Quorum()]

	if term, ok := n.log.termAt(index); ok && term == n.term {
		n.commitTo(index)
	}
}

func (n *Node) sendEntries(p *progress) {
	prev := p.next - 1

	term, ok := n.log.termAt(prev)
	if !ok {
		n.sendSnapshot(p)

		return
	}

	list := n.log.after(prev, entriesAtOnce)
	p.next += uint64(len(list))

	n.sendEarly(p.server, Message{
		Kind:     KindAppend,
		Prev:     prev,
		PrevTerm: term,
		Entries:  list,
		Commit:   n.commit,
	})
}

func (n *Node) sendSnapshot(p *progress) {
	snapshot, err := n.snapshot()
	if err != nil {
		return
	}

	p.next = snapshot.Index + 1
	n.sendEarly(p.server, Message{Kind: KindInstall, Snapshot: snapshot, Commit: n.commit})
}

func (n *Node) stepAppendReply(message *Message) {
	p := n.progress.find(message.From.Identity)
	if n.role != leader || p == nil || message.Term != n.term {
		return
	}

	p.quiet = 0

	if !message.Granted {
		p.next = min(message.Index, n.log.last()) + 1
		n.sendEntries(p)

		return
	}

	if message.Index > p.match {
		p.match = message.Index
		p.stalled = 0
	}

	p.next = max(p.next, p.match+1)
	n.advance()

	if p.next <= n.log.last() {
		n.sendEntries(p)
	}
}

// forwardLearn passes a request for admission on to the leader, which the sender may
// not know. A request that was passed on already goes no further.
func (n *Node) forwardLearn(message *Message) {
	if message.To != "" || n.leader.Identity == "" || n.leader.Identity == n.self.Identity {
		return
	}

	forwarded := *message
	forwarded.To = n.leader.Identity
	forwarded.Address = n.leader.Address
	n.out.Early = append(n.out.Early, forwarded)
}

func (n *Node) stepLearn(message *Message) {
	if n.role != leader {
		n.forwardLearn(message)

		return
	}

	if n.progress.find(message.From.Identity) != nil {
		return
	}

	p := &progress{server: message.From, next: n.log.last() + 1}
	n.progress.add(p)
	n.sendEntries(p)
}
