package raft

import (
	"math/rand/v2"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Timeouts in ticks, and limits on the size of messages and the log.
const (
	heartbeatTicks       = 2
	electionTicks        = 10
	initialElectionTicks = 3
	joinTicks            = 4
	resendTicks          = 8
	snapshotTicks        = 40
	maxEntriesPerMessage = 64
	maxUncommitted       = 1024
	compactEntries       = 1024
	compactBytes         = 4 << 20
	retainedEntries      = 256
)

// logLimits controls log compaction.
type logLimits struct {
	// compact is the number of committed entries after which a snapshot is taken.
	compact uint64
	// retained is the number of committed entries kept in memory for followers that lag slightly.
	retained uint64
}

// Node is a Raft server. It implements drive.StateMachine and does no I/O itself.
type Node struct {
	self         Server
	peers        []Server
	stateMachine StateMachine
	random       *rand.Rand
	term         uint64
	votedFor     string
	role         role
	leader       Server
	log          entryLog
	commitIndex  uint64
	// durableIndex is the index of the last entry known to be on stable storage.
	durableIndex uint64
	// pendingIndex is the index of the last entry passed to the driver for storage.
	pendingIndex    uint64
	snapshotIndex   uint64
	votes           map[string]bool
	progress        progressTracker
	electionElapsed int
	electionTimeout int
	ticks           int
	output          drive.Output[Message]
	// votePending is set while the next output contains a vote record.
	votePending bool
	// leaderSeen is set once a leader has been known since the server was opened.
	leaderSeen bool
	// sentSnapshot is the snapshot that a leader sent last, while it may be on its way.
	sentSnapshot *Snapshot
	// bytesSinceSnapshot is the size of the entry data stored since the last snapshot.
	bytesSinceSnapshot int
	limits             logLimits
}

var _ drive.StateMachine[Message] = (*Node)(nil)

// Open restores a server from its storage. A server that is not a voter sends
// its join requests to peers.
func Open(self Server, peers []Server, storage mill.Storage, stateMachine StateMachine, seed uint64) (*Node, error) {
	state, err := loadPersistentState(storage)
	if err != nil {
		return nil, err
	}

	n := &Node{
		self:         self,
		peers:        peers,
		stateMachine: stateMachine,
		random:       rand.New(rand.NewPCG(seed, seed)),
		term:         state.vote.Term,
		votedFor:     state.vote.For,
		log:          state.log,
		limits:       logLimits{compact: compactEntries, retained: retainedEntries},
	}

	if state.snapshot != nil {
		if err := stateMachine.Load(state.snapshot.Data); err != nil {
			return nil, err
		}

		n.commitIndex = state.snapshot.Index
		n.snapshotIndex = n.commitIndex
	}

	n.durableIndex = n.log.last()
	n.pendingIndex = n.durableIndex
	n.resetElectionTimeout()

	return n, nil
}

// SetPeers replaces the servers to which a server that is not a voter sends its join requests.
func (n *Node) SetPeers(peers []Server) {
	n.peers = peers
}

// Tick advances the server's clock by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.electionElapsed++

	switch {
	case n.role == leader:
		n.tickLeader()
	case !n.log.membership.Has(n.self.Identity):
		n.tickLearner()
	case n.electionElapsed >= n.electionTimeout:
		n.startPreVote()
	}
}

// Step processes a message from another server.
func (n *Node) Step(message Message) {
	if message.Kind != KindJoin && message.To != n.self.Identity {
		return
	}

	if message.Term > n.term && carriesStartedTerm(&message) {
		n.becomeFollower(message.Term)
	}

	if message.Kind.concernsElection() {
		n.stepElection(&message)
	} else {
		n.stepReplication(&message)
	}
}

// carriesStartedTerm reports whether a message's term has started. A pre-vote
// names the term that its sender would start, and a join request usually comes
// from a learner, which belongs to no term.
func carriesStartedTerm(message *Message) bool {
	if message.Kind == KindPreVoteReply {
		return !message.Granted
	}

	return message.Kind != KindPreVote && message.Kind != KindJoin
}

// TakeOutput returns the records to store and the messages to send, and clears them.
// Messages that accompany a vote record are sent only once it is stored.
func (n *Node) TakeOutput() drive.Output[Message] {
	n.maybeCompact()

	output := n.output
	n.output = drive.Output[Message]{}
	n.pendingIndex = n.log.last()

	if n.votePending {
		output.AfterSave = append(output.BeforeSave, output.AfterSave...)
		output.BeforeSave = nil
		n.votePending = false
	}

	return output
}

// Saved tells the server that the output of the last TakeOutput is stored.
func (n *Node) Saved() {
	n.durableIndex = n.pendingIndex

	if n.role == leader {
		n.advanceCommit()
	}
}

// Propose appends data to the log and returns the entry's index and term. It
// fails with mill.ErrNotPrimary on a server that is not the leader, and with
// mill.ErrFull when too many entries are uncommitted.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != leader {
		return 0, 0, mill.ErrNotPrimary
	}

	if n.log.last()-n.commitIndex >= maxUncommitted {
		return 0, 0, mill.ErrFull
	}

	entry := n.appendEntry(Entry{Data: data})

	return entry.Index, entry.Term, nil
}

// Leader returns the leader of the current term and whether the server knows it.
func (n *Node) Leader() (Server, bool) {
	return n.leader, n.leader.Identity != ""
}

// Leading reports whether the server believes itself to be the leader.
func (n *Node) Leading() bool {
	return n.role == leader
}

// CommittedInTerm reports whether an entry of the server's term is committed. A leader
// then knows every entry that earlier leaders committed.
func (n *Node) CommittedInTerm() bool {
	term, ok := n.log.termAt(n.commitIndex)

	return ok && term == n.term
}

// Term returns the server's current term.
func (n *Node) Term() uint64 {
	return n.term
}

// CommitIndex returns the index of the last committed entry.
func (n *Node) CommitIndex() uint64 {
	return n.commitIndex
}

// Membership returns the latest membership in the log.
func (n *Node) Membership() Membership {
	return n.log.membership
}

// appendEntry appends an entry in the leader's term and replicates it to all servers.
func (n *Node) appendEntry(entry Entry) Entry {
	entry.Index = n.log.last() + 1
	entry.Term = n.term
	n.log.append(entry)
	n.writeEntry(&entry)

	if entry.Membership != nil {
		n.trackVoters()
	}

	for _, p := range n.progress.list {
		n.sendEntries(p)
	}

	return entry
}

// becomeFollower makes the server a follower in the term.
func (n *Node) becomeFollower(term uint64) {
	n.role = follower

	if term > n.term {
		n.term = term
		n.votedFor = ""
		n.leader = Server{}
		n.writeVote()
	}

	n.resetElectionTimeout()
}

// resetElectionTimeout picks a new random election timeout. It is shorter on a
// server that has not seen a leader since it was opened: if there is a leader,
// its followers reject the pre-vote, and if all servers were restarted, no
// other server would start an election sooner.
func (n *Node) resetElectionTimeout() {
	n.electionElapsed = 0

	if !n.leaderSeen {
		n.electionTimeout = initialElectionTicks + n.random.IntN(electionTicks/2)

		return
	}

	n.electionTimeout = electionTicks + n.random.IntN(electionTicks)
}

func (n *Node) commitTo(index uint64) {
	for n.commitIndex < min(index, n.log.last()) {
		n.commitIndex++

		entry := n.log.entry(n.commitIndex)
		if entry.Membership == nil && entry.Data != nil {
			n.stateMachine.Apply(entry.Index, entry.Data)
		}
	}
}

func (n *Node) maybeCompact() {
	if n.commitIndex-n.snapshotIndex < n.limits.compact &&
		(n.bytesSinceSnapshot < compactBytes || n.commitIndex == n.snapshotIndex) {
		return
	}

	snapshot, err := n.snapshot()
	if err != nil {
		return
	}

	n.writeSnapshot(snapshot)

	n.discardCompacted()
}

// discardCompacted removes entries covered by the snapshot from memory. It
// retains some for followers that lag slightly, unless the entries are large.
func (n *Node) discardCompacted() {
	retained := n.limits.retained
	if n.bytesSinceSnapshot >= compactBytes {
		retained = 0
	}

	n.bytesSinceSnapshot = 0

	if n.commitIndex-n.log.base > retained {
		n.log.discardThrough(n.commitIndex - retained)
	}
}

func (n *Node) snapshot() (*Snapshot, error) {
	data, err := n.stateMachine.Save()
	if err != nil {
		return nil, err
	}

	term, _ := n.log.termAt(n.commitIndex)

	return &Snapshot{
		Index:      n.commitIndex,
		Term:       term,
		Membership: n.log.membershipAt(n.commitIndex),
		Data:       data,
	}, nil
}

func (n *Node) writeSnapshot(snapshot *Snapshot) {
	data, err := wire.Encode(snapshot)
	if err != nil {
		return
	}

	n.output.Snapshot = data
	n.output.Records = nil
	n.snapshotIndex = snapshot.Index
	n.writeVote()

	for i := snapshot.Index + 1; i <= n.log.last(); i++ {
		n.writeEntry(n.log.entry(i))
	}
}

func (n *Node) writeEntry(entry *Entry) {
	n.bytesSinceSnapshot += len(entry.Data)
	n.writeRecord(&record{Entry: entry})
}

func (n *Node) writeVote() {
	n.votePending = true
	n.writeRecord(&record{Vote: &vote{Term: n.term, For: n.votedFor}})
}

func (n *Node) writeRecord(entry *record) {
	data, err := wire.Encode(entry)
	if err != nil {
		panic(err) // All types in a record can be encoded.
	}

	n.output.Records = append(n.output.Records, data)
}

func (n *Node) sendBeforeSave(to Server, message Message) {
	n.output.BeforeSave = append(n.output.BeforeSave, n.withHeader(to, message))
}

func (n *Node) sendAfterSave(to Server, message Message) {
	n.output.AfterSave = append(n.output.AfterSave, n.withHeader(to, message))
}

func (n *Node) withHeader(to Server, message Message) Message {
	message.From = n.self
	message.To = to.Identity
	message.Address = to.Address

	if message.Term == 0 {
		message.Term = n.term
	}

	return message
}
