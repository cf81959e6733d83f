package ledger

import (
	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The times of a replica in ticks, and the bounds of its messages and its log.
const (
	suspectTicks    = 12
	takeoverTicks   = 16
	learnTicks      = 4
	stalledTicks    = 4
	entriesAtOnce   = 64
	maxOutstanding  = 4096
	compactEntries  = 8192
	retainedEntries = 1024
)

// limits bounds the log of a replica.
type limits struct {
	// compact is the number of committed entries after which a snapshot is taken.
	compact uint64
	// retained is the number of committed entries kept for copies that are a little behind.
	retained uint64
}

// Applied is a committed entry with the results of its commands.
type Applied struct {
	Entry   Entry
	Results []Result
}

// Replica is one copy of a ledger: a drive.StateMachine without input or output.
type Replica struct {
	self    mill.Member
	ledger  string
	epoch   mill.Epoch
	ballot  Ballot
	run     uint64
	pledge  *mill.Epoch
	log     entries
	commit  uint64
	saved   uint64
	saving  uint64
	state   *State
	leading bool
	peers   peers
	quiet   int
	ticks   int
	wish    *mill.Epoch
	wishing bool
	applied []Applied
	out     drive.Output[Message]
	vowed   bool
	stored  uint64
	limits  limits
}

var _ drive.StateMachine[Message] = (*Replica)(nil)

// Open returns the replica that the storage holds.
func Open(ledger string, self mill.Member, storage mill.Storage) (*Replica, error) {
	content, err := loadStored(storage)
	if err != nil {
		return nil, err
	}

	r := &Replica{
		self:   self,
		ledger: ledger,
		ballot: content.vow.Ballot,
		run:    content.vow.Run + 1,
		pledge: content.vow.Pledge,
		wish:   content.vow.Pledge,
		log:    content.log,
		state:  NewState(),
		limits: limits{compact: compactEntries, retained: retainedEntries},
	}

	if content.snapshot != nil {
		if r.state, err = LoadState(content.snapshot.State); err != nil {
			return nil, err
		}

		r.commit = content.snapshot.Index
		r.stored = r.commit
	}

	r.saved = r.log.last()
	r.saving = r.saved
	r.writeVow()
	r.commitTo(content.commit)
	r.applied = nil

	return r, nil
}

// Tick passes one tick of time.
func (r *Replica) Tick() {
	r.ticks++

	switch {
	case r.leading:
		r.tickPrimary()
	case r.epoch.Number == 0:
		r.tickFirst()
	case r.epoch.Has(r.self.Identity):
		r.tickBackup()
	default:
		r.tickLearner()
	}
}

// Step takes a message from another copy.
func (r *Replica) Step(message Message) {
	if message.Ledger != r.ledger || message.To != r.self.Identity {
		return
	}

	switch message.Kind {
	case KindAppend:
		r.stepAppend(&message)
	case KindInstall:
		r.stepInstall(&message)
	case KindAck:
		r.stepAck(&message)
	case KindRefuse:
		r.stepRefuse(&message)
	case KindLearn:
		r.stepLearn(&message)
	}
}

// TakeOutput returns what is to be stored and sent.
func (r *Replica) TakeOutput() drive.Output[Message] {
	r.maybeCompact()

	output := r.out
	r.out = drive.Output[Message]{}
	r.saving = r.log.last()

	if r.vowed {
		output.AfterSave = append(output.BeforeSave, output.AfterSave...)
		output.BeforeSave = nil
		r.vowed = false
	}

	return output
}

// Saved tells the replica that what it gave by TakeOutput is stored.
func (r *Replica) Saved() {
	r.saved = r.saving

	if r.leading {
		r.advance()
	}
}

// SetEpoch takes an epoch that the control log holds or held. One that is
// older than the vow is over, and to lead it would be to commit alone what
// another primary does not know of.
func (r *Replica) SetEpoch(epoch mill.Epoch) {
	if epoch.Number <= r.epoch.Number || epoch.Number < r.ballot.Epoch {
		return
	}

	led := r.leading && epoch.Number == r.epoch.Number+1
	r.epoch = epoch
	r.quiet = 0

	if r.wish != nil && r.wish.Number <= epoch.Number {
		r.wish = nil
		r.wishing = false
	}

	if r.pledge != nil && r.pledge.Number <= epoch.Number {
		r.pledge = nil
		r.writeVow()
	}

	if epoch.Primary.Identity == r.self.Identity {
		r.lead(led)

		return
	}

	r.leading = false
	r.join(Ballot{Epoch: epoch.Number})
}

// Wish returns the epoch that the replica wants the control log to accept, once.
func (r *Replica) Wish() (mill.Epoch, bool) {
	if r.wish == nil || r.wishing {
		return mill.Epoch{}, false
	}

	r.wishing = true

	return *r.wish, true
}

// WishRefused tells the replica that the control log has refused its wish. An
// epoch after the replica's own exists then, so a primary's time is over. A
// refusal that comes after that epoch is known says nothing new.
func (r *Replica) WishRefused(refused mill.Epoch) {
	if r.wish == nil || r.wish.Number != refused.Number {
		return
	}

	r.wish = nil
	r.wishing = false
	r.quiet = 0
	r.leading = false
}

// Propose adds commands to the log and returns where, or mill.ErrNotPrimary or mill.ErrFull.
func (r *Replica) Propose(commands []Command) (uint64, Ballot, error) {
	if !r.leading {
		return 0, Ballot{}, mill.ErrNotPrimary
	}

	if r.log.last()-r.commit >= maxOutstanding {
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

// TakeApplied returns the entries that were committed since the last call.
func (r *Replica) TakeApplied() []Applied {
	applied := r.applied
	r.applied = nil

	return applied
}

// SetCompaction sets the number of committed entries after which a snapshot is taken.
func (r *Replica) SetCompaction(entries uint64) {
	r.limits.compact = entries
}

// Leading reports whether the replica is the primary as far as it knows.
func (r *Replica) Leading() bool {
	return r.leading
}

// Epoch returns the latest epoch known.
func (r *Replica) Epoch() mill.Epoch {
	return r.epoch
}

// Ballot returns the ballot that the replica has joined.
func (r *Replica) Ballot() Ballot {
	return r.ballot
}

// Commit returns the index of the last committed entry.
func (r *Replica) Commit() uint64 {
	return r.commit
}

// State returns the state after the last committed entry.
func (r *Replica) State() *State {
	return r.state
}

// lead makes the replica the primary of its epoch; what a primary of the epoch
// before knew of its peers' logs stays true, since nobody else wrote to them.
func (r *Replica) lead(led bool) {
	known := r.peers
	r.leading = true
	r.peers = peers{}
	r.join(Ballot{Epoch: r.epoch.Number, Run: r.run})

	for _, member := range r.epoch.Replicas {
		if member.Identity == r.self.Identity {
			continue
		}

		p, ok := known.find(member.Identity)
		if !ok || !led {
			p = newPeer(member, r.log.last()+1)
		}

		p.learner = false
		p.counted = true
		p.quiet = 0
		r.peers.add(p)
		r.sendEntries(p)
	}

	r.keepPledge()
	r.advance()
}

// keepPledge counts the learner of an epoch that was asked for before a
// restart, since the control log may have accepted that epoch.
func (r *Replica) keepPledge() {
	if r.pledge == nil {
		return
	}

	for _, member := range r.pledge.Replicas {
		if r.epoch.Has(member.Identity) {
			continue
		}

		p := newPeer(member, r.log.last()+1)
		p.learner = true
		p.counted = true
		r.peers.add(p)
	}
}

// join promises to refuse every earlier ballot.
func (r *Replica) join(ballot Ballot) {
	if !r.ballot.Less(ballot) {
		return
	}

	r.ballot = ballot
	r.writeVow()
}

// advance commits what every counted copy has.
func (r *Replica) advance() {
	index := r.saved

	for _, p := range r.peers.list {
		if p.counted {
			index = min(index, p.acked)
		}
	}

	r.commitTo(index)
}

func (r *Replica) commitTo(index uint64) {
	for r.commit < min(index, r.log.last()) {
		r.commit++
		r.apply(r.log.at(r.commit))
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

// maybeCompact replaces a long log by a snapshot; some entries stay in memory
// so that a copy that is a little behind needs no snapshot.
func (r *Replica) maybeCompact() {
	if r.commit-r.stored < r.limits.compact {
		return
	}

	data, err := r.state.Save()
	if err != nil {
		return
	}

	ballot, _ := r.log.ballotAt(r.commit)
	r.writeSnapshot(r.commit, ballot, data)

	if r.commit-r.log.base > r.limits.retained {
		r.log.rebase(r.commit - r.limits.retained)
	}
}

// writeSnapshot stores a snapshot with the entries after it.
func (r *Replica) writeSnapshot(index uint64, ballot Ballot, state []byte) {
	data, err := wire.Encode(&storedSnapshot{Index: index, Ballot: ballot, State: state})
	if err != nil {
		return
	}

	r.out.Snapshot = data
	r.out.Records = nil
	r.stored = index
	r.writeVow()

	for i := index + 1; i <= r.log.last(); i++ {
		r.writeEntry(r.log.at(i))
	}
}

func (r *Replica) writeEntry(entry *Entry) {
	r.write(&record{Entry: &storedEntry{Entry: *entry, Commit: r.commit}})
}

func (r *Replica) writeVow() {
	r.vowed = true
	r.write(&record{Vow: &vow{Ballot: r.ballot, Run: r.run, Pledge: r.pledge}})
}

func (r *Replica) write(next *record) {
	data, err := wire.Encode(next)
	if err != nil {
		panic(err) // A record has no type that cannot be encoded.
	}

	r.out.Records = append(r.out.Records, data)
}
