package raft

import "slices"

// Server is a member of the consensus group: a voter or a learner.
type Server struct {
	VM       string
	Identity string
	Address  string
}

// Membership is the set of voters.
type Membership struct {
	Servers []Server
}

// Has reports whether the identity is a voter.
func (m *Membership) Has(identity string) bool {
	return slices.ContainsFunc(m.Servers, func(s Server) bool { return s.Identity == identity })
}

// Quorum returns the number of voters that make a majority.
func (m *Membership) Quorum() int {
	return len(m.Servers)/2 + 1
}

// With returns a copy of the membership with a server added.
func (m *Membership) With(server Server) Membership {
	return Membership{Servers: append(slices.Clone(m.Servers), server)}
}

// Without returns a copy of the membership with a server removed.
func (m *Membership) Without(identity string) Membership {
	return Membership{Servers: slices.DeleteFunc(slices.Clone(m.Servers), func(s Server) bool {
		return s.Identity == identity
	})}
}

// Entry is a log entry. It holds data for the state machine or a membership, or
// neither when a leader starts its term.
type Entry struct {
	Index      uint64
	Term       uint64
	Data       []byte      `cbor:",omitempty"`
	Membership *Membership `cbor:",omitempty"`
}

// Snapshot is the serialized state machine after all entries up to an index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind is the type of a Message.
type MessageKind uint8

// The types of messages between servers.
const (
	KindPreVote MessageKind = iota + 1
	KindPreVoteReply
	KindRequestVote
	KindRequestVoteReply
	KindAppendEntries
	KindAppendEntriesReply
	KindInstallSnapshot
	// KindJoin asks the leader to add the sender as a learner.
	KindJoin
	// KindTimeoutNow tells a voter to start an election at once, because the leader is about to stop.
	KindTimeoutNow
)

// concernsElection reports whether messages of this type are part of leader election.
func (k MessageKind) concernsElection() bool {
	switch k {
	case KindPreVote, KindPreVoteReply, KindRequestVote, KindRequestVoteReply, KindTimeoutNow:
		return true
	default:
		return false
	}
}

// Message is a request or reply between servers. In a pre-vote or vote request
// Index and PrevTerm describe the candidate's last log entry. In a reply to an
// append request Index is the last matching index, or where to resume after a
// rejection.
type Message struct {
	Kind     MessageKind
	From     Server
	To       string
	Address  string
	Term     uint64
	Granted  bool      `cbor:",omitempty"`
	Prev     uint64    `cbor:",omitempty"`
	PrevTerm uint64    `cbor:",omitempty"`
	Entries  []Entry   `cbor:",omitempty"`
	Commit   uint64    `cbor:",omitempty"`
	Index    uint64    `cbor:",omitempty"`
	Snapshot *Snapshot `cbor:",omitempty"`
}

// StateMachine is the state machine that committed entries are applied to.
type StateMachine interface {
	// Apply applies the data of a committed entry.
	Apply(index uint64, data []byte)
	// Save serializes the state for a snapshot.
	Save() ([]byte, error)
	// Load replaces the state with that of a snapshot.
	Load(data []byte) error
}

// role is the role of a server in its current term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)
