package raft

import (
	"math/rand/v2"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The times of a server in ticks, and the bounds of its messages and its log.
const (
	heartbeatTicks  = 2
	electionTicks   = 10
	firstTicks      = 3
	learnTicks      = 4
	stalledTicks    = 8
	entriesAtOnce   = 64
	maxOutstanding  = 1024
	compactEntries  = 1024
	compactBytes    = 4 << 20
	retainedEntries = 256
)

// limits bounds the log of a server.
type limits struct {
	// compact is the number of committed entries after which a snapshot is taken.
	compact uint64
	// retained is the number of committed entries kept for servers that are a little behind.
	retained uint64
}

// Node is one server of the consensus: a drive.Machine without input or output.
type Node struct {
	self     Server
	peers    []Server
	machine  Machine
	random   *rand.Rand
	term     uint64
	votedFor string
	role     role
	leader   Server
	log      entryLog
	commit   uint64
	saved    uint64
	saving   uint64
	stored   uint64
	votes    map[string]bool
	progress progresses
	elapsed  int
	timeout  int
	ticks    int
	out      drive.Output[Message]
	hasVote  bool
	// led says that a leader was known since the server was opened.
	led bool
	// bytes counts the data of the entries stored since the last snapshot.
	bytes  int
	limits limits
}

var _ drive.Machine[Message] = (*Node)(nil)

// Open returns the server that the storage holds; peers are the addresses at
// which a server that is no voter asks for admission.
func Open(self Server, peers []Server, storage mill.Storage, machine Machine, seed uint64) (*Node, error) {
	content, err := loadStored(storage)
	if err != nil {
		return nil, err
	}

	n := &Node{
		self:     self,
		peers:    peers,
		machine:  machine,
		random:   rand.New(rand.NewPCG(seed, seed)),
		term:     content.vote.Term,
		votedFor: content.vote.For,
		log:      content.log,
		limits:   limits{compact: compactEntries, retained: retainedEntries},
	}

	if content.snapshot != nil {
		if err := machine.Load(content.snapshot.Data); err != nil {
			return nil, err
		}

		n.commit = content.snapshot.Index
		n.stored = n.commit
	}

	n.saved = n.log.last()
	n.saving = n.saved
	n.resetTimeout()

	return n, nil
}

// SetPeers replaces the addresses at which a server that is no voter asks for admission.
func (n *Node) SetPeers(peers []Server) {
	n.peers = peers
}

// Tick passes one tick of time.
func (n *Node) Tick() {
	n.ticks++
	n.elapsed++

	switch {
	case n.role == leader:
		n.tickLeader()
	case !n.log.membership.Has(n.self.Identity):
		n.tickLearner()
	case n.elapsed >= n.timeout:
		n.campaign()
	}
}

// Step takes a message from another server.
func (n *Node) Step(message Message) {
	if message.Kind != KindLearn && message.To != n.self.Identity {
		return
	}

	if message.Term > n.term && binding(&message) {
		n.follow(message.Term)
	}

	if message.Kind.aboutElection() {
		n.stepElection(&message)
	} else {
		n.stepLog(&message)
	}
}

// binding reports whether a message's term is one that has begun: a pre-vote
// is about a term that its sender would use, and a learner is in no term.
func binding(message *Message) bool {
	if message.Kind == KindPreVoteReply {
		return !message.Granted
	}

	return message.Kind != KindPreVote && message.Kind != KindLearn
}

// Take returns what is to be stored and sent.
func (n *Node) Take() drive.Output[Message] {
	n.maybeCompact()

	output := n.out
	n.out = drive.Output[Message]{}
	n.saving = n.log.last()

	if n.hasVote {
		output.Late = append(output.Early, output.Late...)
		output.Early = nil
		n.hasVote = false
	}

	return output
}

// Saved tells the server that what it gave by Take is stored.
func (n *Node) Saved() {
	n.saved = n.saving

	if n.role == leader {
		n.advance()
	}
}

// Propose adds data to the log and returns where, or mill.ErrNotPrimary or mill.ErrFull.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != leader {
		return 0, 0, mill.ErrNotPrimary
	}

	if n.log.last()-n.commit >= maxOutstanding {
		return 0, 0, mill.ErrFull
	}

	entry := n.add(Entry{Data: data})

	return entry.Index, entry.Term, nil
}

// Leader returns the leader as far as the server knows.
func (n *Node) Leader() (Server, bool) {
	return n.leader, n.leader.Identity != ""
}

// Leading reports whether the server is the leader as far as it knows.
func (n *Node) Leading() bool {
	return n.role == leader
}

// Current reports whether an entry of the server's term is committed: a leader then
// knows all that earlier leaders have committed.
func (n *Node) Current() bool {
	term, ok := n.log.termAt(n.commit)

	return ok && term == n.term
}

// Term returns the server's current term.
func (n *Node) Term() uint64 {
	return n.term
}

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 {
	return n.commit
}

// Membership returns the latest membership in the log.
func (n *Node) Membership() Membership {
	return n.log.membership
}

// add appends an entry of the leader's term and sends it to all.
func (n *Node) add(entry Entry) Entry {
	entry.Index = n.log.last() + 1
	entry.Term = n.term
	n.log.append(entry)
	n.writeEntry(&entry)

	if entry.Membership != nil {
		n.syncProgress()
	}

	for _, p := range n.progress.list {
		n.sendEntries(p)
	}

	return entry
}

// follow enters a term as a follower.
func (n *Node) follow(term uint64) {
	n.role = follower

	if term > n.term {
		n.term = term
		n.votedFor = ""
		n.leader = Server{}
		n.writeVote()
	}

	n.resetTimeout()
}

// resetTimeout draws when to stand for election. A server that was just opened waits
// less: if there is a leader the others hear it and refuse, and if all were
// restarted nobody else will begin.
func (n *Node) resetTimeout() {
	n.elapsed = 0

	if !n.led {
		n.timeout = firstTicks + n.random.IntN(electionTicks/2)

		return
	}

	n.timeout = electionTicks + n.random.IntN(electionTicks)
}

func (n *Node) commitTo(index uint64) {
	for n.commit < min(index, n.log.last()) {
		n.commit++

		entry := n.log.at(n.commit)
		if entry.Membership == nil && entry.Data != nil {
			n.machine.Apply(entry.Index, entry.Data)
		}
	}
}

func (n *Node) maybeCompact() {
	if n.commit-n.stored < n.limits.compact && (n.bytes < compactBytes || n.commit == n.stored) {
		return
	}

	snapshot, err := n.snapshot()
	if err != nil {
		return
	}

	n.writeSnapshot(snapshot)

	n.dropCompacted()
}

// dropCompacted drops what the snapshot holds from memory, but for some entries
// that a server which is a little behind needs, unless those are large.
func (n *Node) dropCompacted() {
	retained := n.limits.retained
	if n.bytes >= compactBytes {
		retained = 0
	}

	n.bytes = 0

	if n.commit-n.log.base > retained {
		n.log.rebase(n.commit - retained)
	}
}

func (n *Node) snapshot() (*Snapshot, error) {
	data, err := n.machine.Save()
	if err != nil {
		return nil, err
	}

	term, _ := n.log.termAt(n.commit)

	return &Snapshot{
		Index:      n.commit,
		Term:       term,
		Membership: n.log.membershipAt(n.commit),
		Data:       data,
	}, nil
}

func (n *Node) writeSnapshot(snapshot *Snapshot) {
	data, err := wire.Encode(snapshot)
	if err != nil {
		return
	}

	n.out.Snapshot = data
	n.out.Records = nil
	n.stored = snapshot.Index
	n.writeVote()

	for i := snapshot.Index + 1; i <= n.log.last(); i++ {
		n.writeEntry(n.log.at(i))
	}
}

func (n *Node) writeEntry(entry *Entry) {
	n.bytes += len(entry.Data)
	n.write(&record{Entry: entry})
}

func (n *Node) writeVote() {
	n.hasVote = true
	n.write(&record{Vote: &vote{Term: n.term, For: n.votedFor}})
}

func (n *Node) write(next *record) {
	data, err := wire.Encode(next)
	if err != nil {
		panic(err) // A record has no type that cannot be encoded.
	}

	n.out.Records = append(n.out.Records, data)
}

func (n *Node) sendEarly(to Server, message Message) {
	n.out.Early = append(n.out.Early, n.address(to, message))
}

func (n *Node) sendLate(to Server, message Message) {
	n.out.Late = append(n.out.Late, n.address(to, message))
}

func (n *Node) address(to Server, message Message) Message {
	message.From = n.self
	message.To = to.Identity
	message.Address = to.Address

	if message.Term == 0 {
		message.Term = n.term
	}

	return message
}
