package ledger

import (
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func (r *Replica) tickPrimary() {
	for _, p := range slices.Clone(r.peers.list) {
		p.ticksSinceReply++

		if p.ticksSinceReply > suspectTicks {
			r.suspect(p)
		}

		r.resendIfStalled(p)
		r.sendEntries(p)
	}
}

// suspect handles a peer that does not answer: it removes a learner, and requests
// an epoch without a replica. While an epoch request is pending it does nothing:
// the control log may still accept an epoch that includes the learner, so commits
// must continue to wait for it.
func (r *Replica) suspect(p *peer) {
	if r.epochRequest != nil {
		return
	}

	if p.learner {
		r.peers.remove(p.member.Identity)
		r.advanceCommit()

		return
	}

	next := r.epoch.Without(p.member.Identity)
	r.epochRequest = &next
}

// resendIfStalled resets nextIndex when entries have not been acknowledged for
// resendTicks, so that they are sent again.
func (r *Replica) resendIfStalled(p *peer) {
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

// sendEntries sends the entries from nextIndex on, or a heartbeat if there are none.
func (r *Replica) sendEntries(p *peer) {
	prev := p.nextIndex - 1

	ballot, ok := r.log.ballotAt(prev)
	if !ok {
		r.sendSnapshot(p)

		return
	}

	list := r.log.entriesAfter(prev, maxEntriesPerMessage)
	p.nextIndex += uint64(len(list))

	r.sendBeforeSave(p.member, Message{
		Kind:       KindAppendEntries,
		Prev:       prev,
		PrevBallot: ballot,
		Entries:    list,
		Commit:     r.commitIndex,
	})
}

func (r *Replica) sendSnapshot(p *peer) {
	data, err := r.state.Save()
	if err != nil {
		return
	}

	ballot, _ := r.log.ballotAt(r.commitIndex)
	p.nextIndex = r.commitIndex + 1

	r.sendBeforeSave(p.member, Message{
		Kind:       KindInstallSnapshot,
		Prev:       r.commitIndex,
		PrevBallot: ballot,
		Snapshot:   data,
		Commit:     r.commitIndex,
	})
}

func (r *Replica) stepAck(message *Message) {
	p, ok := r.peers.find(message.From.Identity)
	if !r.leading || !ok || message.Ballot != r.ballot {
		return
	}

	p.ticksSinceReply = 0

	if message.Index > p.matchIndex {
		p.matchIndex = message.Index
		p.unackedTicks = 0
	}

	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	r.advanceCommit()
	r.promote(p)

	if p.nextIndex <= r.log.last() {
		r.sendEntries(p)
	}
}

// promote requests an epoch that includes a learner which has the whole log.
// Commits wait for the learner from then on, and the request is stored, so that
// the learner has all committed entries whenever the control log accepts the
// epoch.
func (r *Replica) promote(p *peer) {
	if !p.learner || r.epochRequest != nil || p.matchIndex < r.log.last() {
		return
	}

	p.required = true
	next := r.epoch.With(p.member)
	r.epochRequest = &next
	r.pendingPromotion = &next
	r.writePromise()
}

// TransferPrimary requests an epoch with another primary before a planned stop. The new
// primary must have the whole log; one with a disk is preferred.
func (r *Replica) TransferPrimary() {
	if !r.leading || r.epochRequest != nil {
		return
	}

	var successor *peer

	for _, p := range r.peers.list {
		if p.learner || p.matchIndex < r.log.last() {
			continue
		}

		if successor == nil || p.member.Durable {
			successor = p
		}
	}

	if successor == nil {
		return
	}

	epoch := r.epoch.WithPrimary(successor.member)
	r.epochRequest = &epoch
}

func (r *Replica) stepReject(message *Message) {
	if r.ballot.Less(message.Ballot) {
		r.leading = false
		r.join(message.Ballot)

		return
	}

	p, ok := r.peers.find(message.From.Identity)
	if !r.leading || !ok || message.Ballot != r.ballot {
		return
	}

	p.ticksSinceReply = 0
	p.nextIndex = message.Index + 1
	r.sendEntries(p)
}

func (r *Replica) stepJoin(message *Message) {
	if !r.leading {
		return
	}

	if _, ok := r.peers.find(message.From.Identity); ok {
		return
	}

	p := newPeer(message.From, r.log.last()+1)
	p.learner = true
	r.peers.add(p)
	r.sendEntries(p)
}

func (r *Replica) sendBeforeSave(to mill.Member, message Message) {
	r.output.BeforeSave = append(r.output.BeforeSave, r.withHeader(to, message))
}

func (r *Replica) sendAfterSave(to mill.Member, message Message) {
	r.output.AfterSave = append(r.output.AfterSave, r.withHeader(to, message))
}

func (r *Replica) withHeader(to mill.Member, message Message) Message {
	message.Ledger = r.ledger
	message.From = r.self
	message.To = to.Identity
	message.Address = to.Address
	message.Ballot = r.ballot

	return message
}
