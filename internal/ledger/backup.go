package ledger

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// tickWithoutEpoch requests the first epoch of a ledger that has none. A replica
// without a disk waits to be admitted instead.
func (r *Replica) tickWithoutEpoch() {
	if !r.self.Durable || r.epochRequest != nil || r.log.last() > 0 {
		return
	}

	r.epochRequest = &mill.Epoch{
		Ledger:   r.ledger,
		Number:   1,
		Primary:  r.self,
		Replicas: []mill.Member{r.self},
	}
}

// tickBackup requests to become the primary when the primary has not been heard
// from for takeoverTicks. The timeout grows with the position among the replicas,
// so that they do not request it in the same tick.
func (r *Replica) tickBackup() {
	r.ticksSincePrimary++

	if r.epoch.Primary.Identity == r.self.Identity {
		return // A primary that no longer leads its epoch waits for the next one.
	}

	if r.epochRequest != nil || r.ticksSincePrimary < takeoverTicks+r.position() {
		return
	}

	next := r.epoch.WithPrimary(r.self)
	r.epochRequest = &next
}

func (r *Replica) position() int {
	for i, member := range r.epoch.Replicas {
		if member.Identity == r.self.Identity {
			return i
		}
	}

	return 0
}

// tickLearner asks the primary to be admitted until an epoch includes this replica.
func (r *Replica) tickLearner() {
	if r.ticks%joinTicks != 0 {
		return
	}

	r.sendBeforeSave(r.epoch.Primary, Message{Kind: KindJoin})
}

// acceptPrimary joins the ballot of a message from a primary. It reports false and
// sends a rejection if the ballot is lower than the replica's.
func (r *Replica) acceptPrimary(message *Message) bool {
	if message.Ballot.Less(r.ballot) {
		r.sendAfterSave(message.From, Message{Kind: KindReject})

		return false
	}

	if r.ballot.Less(message.Ballot) {
		r.leading = false
		r.join(message.Ballot)
	}

	r.ticksSincePrimary = 0

	return true
}

func (r *Replica) stepAppendEntries(message *Message) {
	if !r.acceptPrimary(message) {
		return
	}

	if !r.hasPreviousEntry(message) {
		r.sendAfterSave(message.From, Message{Kind: KindReject, Index: r.commitIndex})

		return
	}

	for i := range message.Entries {
		r.appendFromPrimary(&message.Entries[i])
	}

	matched := message.Prev + uint64(len(message.Entries))
	r.commitTo(min(message.Commit, matched))
	r.sendAfterSave(message.From, Message{Kind: KindAck, Index: matched})
}

// hasPreviousEntry reports whether the log contains the entry that precedes the
// message's entries. Committed entries are the same on all replicas, so they
// need no comparison.
func (r *Replica) hasPreviousEntry(message *Message) bool {
	if message.Prev <= r.commitIndex {
		return true
	}

	ballot, ok := r.log.ballotAt(message.Prev)

	return ok && ballot == message.PrevBallot
}

// appendFromPrimary appends an entry unless the log contains it already. A
// different entry at its index was never committed, and is removed with all
// entries after it.
func (r *Replica) appendFromPrimary(entry *Entry) {
	if entry.Index <= r.commitIndex {
		return
	}

	ballot, ok := r.log.ballotAt(entry.Index)
	if ok && ballot == entry.Ballot {
		return
	}

	if ok {
		r.log.truncate(entry.Index - 1)
		r.durableIndex = min(r.durableIndex, entry.Index-1)
	}

	r.log.append(*entry)
	r.writeEntry(entry)
}

// stepInstallSnapshot replaces the state by a newer snapshot. Entries after the
// snapshot are kept if the log contains its last entry.
func (r *Replica) stepInstallSnapshot(message *Message) {
	if !r.acceptPrimary(message) {
		return
	}

	if message.Prev > r.commitIndex {
		r.installSnapshot(message)
	}

	r.sendAfterSave(message.From, Message{Kind: KindAck, Index: message.Prev})
}

func (r *Replica) installSnapshot(message *Message) {
	state, err := LoadState(message.Snapshot)
	if err != nil {
		return
	}

	ballot, ok := r.log.ballotAt(message.Prev)
	if ok && ballot == message.PrevBallot {
		r.log.discardThrough(message.Prev)
	} else {
		r.log.reset(message.Prev, message.PrevBallot)
	}

	r.state = state
	r.commitIndex = message.Prev
	r.durableIndex = min(r.durableIndex, message.Prev)
	r.writeSnapshot(message.Prev, message.PrevBallot, message.Snapshot)
}
