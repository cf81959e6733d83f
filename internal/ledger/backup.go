package ledger

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// tickFirst asks for the first epoch of a ledger that never had one; a copy
// without a disk waits to be admitted instead.
func (r *Replica) tickFirst() {
	if !r.self.Durable || r.wish != nil || r.log.last() > 0 {
		return
	}

	r.wish = &mill.Epoch{
		Ledger:   r.ledger,
		Number:   1,
		Primary:  r.self,
		Replicas: []mill.Member{r.self},
	}
}

// tickBackup asks to lead when the primary has been silent; the position among
// the replicas keeps them from asking at the same tick.
func (r *Replica) tickBackup() {
	r.quiet++

	if r.epoch.Primary.Identity == r.self.Identity {
		return // The primary of an epoch that is over waits for the next one.
	}

	if r.wish != nil || r.quiet < takeoverTicks+r.position() {
		return
	}

	next := r.epoch.WithPrimary(r.self)
	r.wish = &next
}

func (r *Replica) position() int {
	for i, member := range r.epoch.Replicas {
		if member.Identity == r.self.Identity {
			return i
		}
	}

	return 0
}

// tickLearner asks the primary for admission until it is one of the replicas.
func (r *Replica) tickLearner() {
	if r.ticks%learnTicks != 0 {
		return
	}

	r.sendEarly(r.epoch.Primary, Message{Kind: KindLearn})
}

// heed checks the ballot of a message from a primary and joins it; the primary
// of an earlier ballot is told so.
func (r *Replica) heed(message *Message) bool {
	if message.Ballot.Less(r.ballot) {
		r.sendLate(message.From, Message{Kind: KindRefuse})

		return false
	}

	if r.ballot.Less(message.Ballot) {
		r.leading = false
		r.join(message.Ballot)
	}

	r.quiet = 0

	return true
}

func (r *Replica) stepAppend(message *Message) {
	if !r.heed(message) {
		return
	}

	if !r.matches(message) {
		r.sendLate(message.From, Message{Kind: KindRefuse, Index: r.commit})

		return
	}

	for i := range message.Entries {
		r.accept(&message.Entries[i])
	}

	matched := message.Prev + uint64(len(message.Entries))
	r.commitTo(min(message.Commit, matched))
	r.sendLate(message.From, Message{Kind: KindAck, Index: matched})
}

// matches reports whether the log has the entry before the message's entries.
// What is committed is the same everywhere, so it needs no comparison.
func (r *Replica) matches(message *Message) bool {
	if message.Prev <= r.commit {
		return true
	}

	ballot, ok := r.log.ballotAt(message.Prev)

	return ok && ballot == message.PrevBallot
}

// accept stores an entry unless it is there already; a different entry at its
// place, and all after that, was never committed and gives way.
func (r *Replica) accept(entry *Entry) {
	if entry.Index <= r.commit {
		return
	}

	ballot, ok := r.log.ballotAt(entry.Index)
	if ok && ballot == entry.Ballot {
		return
	}

	if ok {
		r.log.truncate(entry.Index - 1)
		r.saved = min(r.saved, entry.Index-1)
	}

	r.log.append(*entry)
	r.writeEntry(entry)
}

// stepInstall replaces the state by a snapshot and keeps the entries that follow it.
func (r *Replica) stepInstall(message *Message) {
	if !r.heed(message) {
		return
	}

	if message.Prev > r.commit {
		r.install(message)
	}

	r.sendLate(message.From, Message{Kind: KindAck, Index: message.Prev})
}

func (r *Replica) install(message *Message) {
	state, err := LoadState(message.Snapshot)
	if err != nil {
		return
	}

	ballot, ok := r.log.ballotAt(message.Prev)
	if ok && ballot == message.PrevBallot {
		r.log.rebase(message.Prev)
	} else {
		r.log.reset(message.Prev, message.PrevBallot)
	}

	r.state = state
	r.commit = message.Prev
	r.saved = min(r.saved, message.Prev)
	r.writeSnapshot(message.Prev, message.PrevBallot, message.Snapshot)
}
