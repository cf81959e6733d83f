package ledger

import (
	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Timeouts in ticks, and limits on the size of messages and the log.
const (
	suspectTicks         = 12
	takeoverTicks        = 16
	joinTicks            = 4
	resendTicks          = 4
	maxEntriesPerMessage = 64
	maxUncommitted       = 4096
	compactEntries       = 8192
	retainedEntries      = 1024
)

// logLimits controls log compaction.
type logLimits struct {
	// compact is the number of committed entries after which a snapshot is taken.
	compact uint64
	// retained is the number of committed entries kept in memory for replicas that lag slightly.
	retained uint64
}

// Applied is a committed entry with the results of its commands.
type Applied struct {
	Entry   Entry
	Results []Result
}

// Replica is a replica of a ledger. It implements drive.StateMachine and does no
// I/O itself.
type Replica struct {
	self        mill.Member
	ledger      string
	epoch       mill.Epoch
	ballot      Ballot
	incarnation uint64
	// pendingPromotion is the epoch with a learner added that the control log may still accept.
	pendingPromotion *mill.Epoch
	log              entryLog
	commitIndex      uint64
	// durableIndex is the index of the last entry known to be on stable storage.
	durableIndex uint64
	// pendingIndex is the index of the last entry passed to the driver for storage.
	pendingIndex      uint64
	state             *State
	leading           bool
	peers             peers
	ticksSincePrimary int
	ticks             int
	// epochRequest is the epoch that the replica requests from the control log.
	epochRequest      *mill.Epoch
	epochRequestTaken bool
	applied           []Applied
	output            drive.Output[Message]
	// promisePending is set while the next output contains a promise.
	promisePending bool
	snapshotIndex  uint64
	limits         logLimits
}

var _ drive.StateMachine[Message] = (*Replica)(nil)

// Open restores a replica from its storage.
func Open(ledger string, self mill.Member, storage mill.Storage) (*Replica, error) {
	persisted, err := loadPersistentState(storage)
	if err != nil {
		return nil, err
	}

	r := &Replica{
		self:             self,
		ledger:           ledger,
		ballot:           persisted.promise.Ballot,
		incarnation:      persisted.promise.Incarnation + 1,
		pendingPromotion: persisted.promise.PendingPromotion,
		epochRequest:     persisted.promise.PendingPromotion,
		log:              persisted.log,
		state:            NewState(),
		limits:           logLimits{compact: compactEntries, retained: retainedEntries},
	}

	if persisted.snapshot != nil {
		if r.state, err = LoadState(persisted.snapshot.State); err != nil {
			return nil, err
		}

		r.commitIndex = persisted.snapshot.Index
		r.snapshotIndex = r.commitIndex
	}

	r.durableIndex = r.log.last()
	r.pendingIndex = r.durableIndex
	r.writePromise()
	r.commitTo(persisted.commitIndex)
	r.applied = nil

	return r, nil
}

// Tick advances the replica's clock by one tick.
func (r *Replica) Tick() {
	r.ticks++

	switch {
	case r.leading:
		r.tickPrimary()
	case r.epoch.Number == 0:
		r.tickWithoutEpoch()
	case r.epoch.Has(r.self.Identity):
		r.tickBackup()
	default:
		r.tickLearner()
	}
}

// Step processes a message from another replica.
func (r *Replica) Step(message Message) {
	if message.Ledger != r.ledger || message.To != r.self.Identity {
		return
	}

	switch message.Kind {
	case KindAppendEntries:
		r.stepAppendEntries(&message)
	case KindInstallSnapshot:
		r.stepInstallSnapshot(&message)
	case KindAck:
		r.stepAck(&message)
	case KindReject:
		r.stepReject(&message)
	case KindJoin:
		r.stepJoin(&message)
	}
}

// TakeOutput returns the records to store and the messages to send, and clears
// them. Messages that accompany a promise are sent only once it is stored.
func (r *Replica) TakeOutput() drive.Output[Message] {
	r.maybeCompact()

	output := r.output
	r.output = drive.Output[Message]{}
	r.pendingIndex = r.log.last()

	if r.promisePending {
		output.AfterSave = append(output.BeforeSave, output.AfterSave...)
		output.BeforeSave = nil
		r.promisePending = false
	}

	return output
}

// Saved tells the replica that the output of the last TakeOutput is stored.
func (r *Replica) Saved() {
	r.durableIndex = r.pendingIndex

	if r.leading {
		r.advanceCommit()
	}
}

// SetEpoch puts an epoch that the control log has accepted into effect. It
// ignores an epoch older than the promise, since that epoch has been replaced:
// leading it could commit entries that the newer primary does not have.
func (r *Replica) SetEpoch(epoch mill.Epoch) {
	if epoch.Number <= r.epoch.Number || epoch.Number < r.ballot.Epoch {
		return
	}

	wasPrimary := r.leading && epoch.Number == r.epoch.Number+1
	r.epoch = epoch
	r.ticksSincePrimary = 0

	if r.epochRequest != nil && r.epochRequest.Number <= epoch.Number {
		r.epochRequest = nil
		r.epochRequestTaken = false
	}

	if r.pendingPromotion != nil && r.pendingPromotion.Number <= epoch.Number {
		r.pendingPromotion = nil
		r.writePromise()
	}

	if epoch.Primary.Identity == r.self.Identity {
		r.lead(wasPrimary)

		return
	}

	r.leading = false
	r.join(Ballot{Epoch: epoch.Number})
}

// TakeEpochRequest returns an epoch that the replica requests from the control log. Each
// request is returned once.
func (r *Replica) TakeEpochRequest() (mill.Epoch, bool) {
	if r.epochRequest == nil || r.epochRequestTaken {
		return mill.Epoch{}, false
	}

	r.epochRequestTaken = true

	return *r.epochRequest, true
}

// EpochRefused tells the replica that the control log has refused an epoch that it
// requested. A newer epoch than the replica's exists then, so a primary stops
// leading. A refusal that arrives when that newer epoch is already known is
// ignored.
func (r *Replica) EpochRefused(refused mill.Epoch) {
	if r.epochRequest == nil || r.epochRequest.Number != refused.Number {
		return
	}

	r.epochRequest = nil
	r.epochRequestTaken = false
	r.ticksSincePrimary = 0
	r.leading = false
}

// Propose appends commands to the log as one entry and returns its index and
// ballot. It fails with mill.ErrNotPrimary on a replica that is not the primary,
// and with mill.ErrFull when too many entries are uncommitted.
func (r *Replica) Propose(commands []Command) (uint64, Ballot, error) {
	if !r.leading {
		return 0, Ballot{}, mill.ErrNotPrimary
	}

	if r.log.last()-r.commitIndex >= maxUncommitted {
		return 0, Ballot{}, mill.ErrFull
	}

	entry := Entry{Index: r.log.last() + 1, Ballot: r.ballot, Commands: commands}
	r.log.append(entry)
	r.writeEntry(&entry)

	for _, p := range r.peers.list {
		r.sendEntries(p)
	}

	return entry.Index, entry.Ballot, nil
}

// TakeApplied returns the entries committed since the last call.
func (r *Replica) TakeApplied() []Applied {
	applied := r.applied
	r.applied = nil

	return applied
}

// SetCompaction sets the number of committed entries after which a snapshot is taken.
func (r *Replica) SetCompaction(entries uint64) {
	r.limits.compact = entries
}

// Leading reports whether the replica believes itself to be the primary.
func (r *Replica) Leading() bool {
	return r.leading
}

// Epoch returns the latest epoch that the replica knows.
func (r *Replica) Epoch() mill.Epoch {
	return r.epoch
}

// Ballot returns the ballot that the replica has joined.
func (r *Replica) Ballot() Ballot {
	return r.ballot
}

// CommitIndex returns the index of the last committed entry.
func (r *Replica) CommitIndex() uint64 {
	return r.commitIndex
}

// State returns the state after the last committed entry.
func (r *Replica) State() *State {
	return r.state
}

// lead makes the replica the primary of its epoch. If it was the primary of the
// previous epoch, it keeps its view of its peers' logs, since no other primary
// has written to them.
func (r *Replica) lead(wasPrimary bool) {
	previous := r.peers
	r.leading = true
	r.peers = peers{}
	r.join(Ballot{Epoch: r.epoch.Number, Incarnation: r.incarnation})

	for _, member := range r.epoch.Replicas {
		if member.Identity == r.self.Identity {
			continue
		}

		p, ok := previous.find(member.Identity)
		if !ok || !wasPrimary {
			p = newPeer(member, r.log.last()+1)
		}

		p.learner = false
		p.required = true
		p.ticksSinceReply = 0
		r.peers.add(p)
		r.sendEntries(p)
	}

	r.trackPendingPromotion()
	r.advanceCommit()
}

// trackPendingPromotion adds the learner of an epoch that was requested before a
// restart. Commits wait for it, since the control log may have accepted that
// epoch.
func (r *Replica) trackPendingPromotion() {
	if r.pendingPromotion == nil {
		return
	}

	for _, member := range r.pendingPromotion.Replicas {
		if r.epoch.Has(member.Identity) {
			continue
		}

		p := newPeer(member, r.log.last()+1)
		p.learner = true
		p.required = true
		r.peers.add(p)
	}
}

// join promises to reject all lower ballots.
func (r *Replica) join(ballot Ballot) {
	if !r.ballot.Less(ballot) {
		return
	}

	r.ballot = ballot
	r.writePromise()
}

// advanceCommit commits the entries that all required replicas have stored.
func (r *Replica) advanceCommit() {
	index := r.durableIndex

	for _, p := range r.peers.list {
		if p.required {
			index = min(index, p.matchIndex)
		}
	}

	r.commitTo(index)
}

func (r *Replica) commitTo(index uint64) {
	for r.commitIndex < min(index, r.log.last()) {
		r.commitIndex++
		r.apply(r.log.entry(r.commitIndex))
	}
}

func (r *Replica) apply(entry *Entry) {
	results := make([]Result, len(entry.Commands))

	for i := range entry.Commands {
		results[i] = r.state.Apply(entry.Index, &entry.Commands[i])
		results[i].Index = entry.Index
	}

	r.applied = append(r.applied, Applied{Entry: *entry, Results: results})
}

// maybeCompact replaces a long log by a snapshot. It retains some entries in
// memory, so that a replica that lags slightly needs no snapshot.
func (r *Replica) maybeCompact() {
	if r.commitIndex-r.snapshotIndex < r.limits.compact {
		return
	}

	data, err := r.state.Save()
	if err != nil {
		return
	}

	ballot, _ := r.log.ballotAt(r.commitIndex)
	r.writeSnapshot(r.commitIndex, ballot, data)

	if r.commitIndex-r.log.base > r.limits.retained {
		r.log.discardThrough(r.commitIndex - r.limits.retained)
	}
}

// writeSnapshot stores a snapshot and the entries after it.
func (r *Replica) writeSnapshot(index uint64, ballot Ballot, state []byte) {
	data, err := wire.Encode(&storedSnapshot{Index: index, Ballot: ballot, State: state})
	if err != nil {
		return
	}

	r.output.Snapshot = data
	r.output.Records = nil
	r.snapshotIndex = index
	r.writePromise()

	for i := index + 1; i <= r.log.last(); i++ {
		r.writeEntry(r.log.entry(i))
	}
}

func (r *Replica) writeEntry(entry *Entry) {
	r.writeRecord(&record{Entry: &storedEntry{Entry: *entry, Commit: r.commitIndex}})
}

func (r *Replica) writePromise() {
	r.promisePending = true
	r.writeRecord(&record{Promise: &promise{
		Ballot: r.ballot, Incarnation: r.incarnation, PendingPromotion: r.pendingPromotion,
	}})
}

func (r *Replica) writeRecord(entry *record) {
	data, err := wire.Encode(entry)
	if err != nil {
		panic(err) // All types in a record can be encoded.
	}

	r.output.Records = append(r.output.Records, data)
}
