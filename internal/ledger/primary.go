package ledger

import (
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func (r *Replica) tickPrimary() {
	for _, p := range slices.Clone(r.peers.list) {
		p.quiet++

		if p.quiet > suspectTicks {
			r.suspect(p)
		}

		r.retry(p)
		r.sendEntries(p)
	}
}

// suspect drops a silent learner and asks for an epoch without a silent
// replica. A learner that an unanswered wish names stays counted, since the
// control log may yet accept it.
func (r *Replica) suspect(p *peer) {
	if r.wish != nil {
		return
	}

	if p.learner {
		r.peers.remove(p.member.Identity)
		r.advance()

		return
	}

	next := r.epoch.Without(p.member.Identity)
	r.wish = &next
}

// retry sends again what was sent a few ticks ago and not acknowledged.
func (r *Replica) retry(p *peer) {
	if p.acked+1 >= p.next {
		p.stalled = 0

		return
	}

	p.stalled++

	if p.stalled >= stalledTicks {
		p.stalled = 0
		p.next = p.acked + 1
	}
}

// sendEntries sends what follows p.next, or a heartbeat when nothing does.
func (r *Replica) sendEntries(p *peer) {
	prev := p.next - 1

	ballot, ok := r.log.ballotAt(prev)
	if !ok {
		r.sendSnapshot(p)

		return
	}

	list := r.log.after(prev, entriesAtOnce)
	p.next += uint64(len(list))

	r.sendEarly(p.member, Message{
		Kind:       KindAppend,
		Prev:       prev,
		PrevBallot: ballot,
		Entries:    list,
		Commit:     r.commit,
	})
}

func (r *Replica) sendSnapshot(p *peer) {
	data, err := r.state.Save()
	if err != nil {
		return
	}

	ballot, _ := r.log.ballotAt(r.commit)
	p.next = r.commit + 1

	r.sendEarly(p.member, Message{
		Kind:       KindInstall,
		Prev:       r.commit,
		PrevBallot: ballot,
		Snapshot:   data,
		Commit:     r.commit,
	})
}

func (r *Replica) stepAck(message *Message) {
	p, ok := r.peers.find(message.From.Identity)
	if !r.leading || !ok || message.Ballot != r.ballot {
		return
	}

	p.quiet = 0

	if message.Index > p.acked {
		p.acked = message.Index
		p.stalled = 0
	}

	p.next = max(p.next, p.acked+1)
	r.advance()
	r.promote(p)

	if p.next <= r.log.last() {
		r.sendEntries(p)
	}
}

// promote counts a learner that has the whole log and asks for an epoch with
// it. It is counted first, and durably, so that whenever the control log
// accepts the epoch the learner has all that was committed.
func (r *Replica) promote(p *peer) {
	if !p.learner || r.wish != nil || p.acked < r.log.last() {
		return
	}

	p.counted = true
	next := r.epoch.With(p.member)
	r.wish = &next
	r.pledge = &next
	r.writeVow()
}

// HandOver asks for an epoch led by another replica that has the whole log,
// before this copy stops as planned; one with a disk is preferred.
func (r *Replica) HandOver() {
	if !r.leading || r.wish != nil {
		return
	}

	var next *peer

	for _, p := range r.peers.list {
		if p.learner || p.acked < r.log.last() {
			continue
		}

		if next == nil || p.member.Durable {
			next = p
		}
	}

	if next == nil {
		return
	}

	epoch := r.epoch.WithPrimary(next.member)
	r.wish = &epoch
}

func (r *Replica) stepRefuse(message *Message) {
	if r.ballot.Less(message.Ballot) {
		r.leading = false
		r.join(message.Ballot)

		return
	}

	p, ok := r.peers.find(message.From.Identity)
	if !r.leading || !ok || message.Ballot != r.ballot {
		return
	}

	p.quiet = 0
	p.next = message.Index + 1
	r.sendEntries(p)
}

func (r *Replica) stepLearn(message *Message) {
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

func (r *Replica) sendEarly(to mill.Member, message Message) {
	r.out.BeforeSave = append(r.out.BeforeSave, r.address(to, message))
}

func (r *Replica) sendLate(to mill.Member, message Message) {
	r.out.AfterSave = append(r.out.AfterSave, r.address(to, message))
}

func (r *Replica) address(to mill.Member, message Message) Message {
	message.Ledger = r.ledger
	message.From = r.self
	message.To = to.Identity
	message.Address = to.Address
	message.Ballot = r.ballot

	return message
}
