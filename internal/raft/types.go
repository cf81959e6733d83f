package raft

import "slices"

// Server is a voter of the control log.
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

// With returns the membership with a server added.
func (m *Membership) With(server Server) Membership {
	return Membership{Servers: append(slices.Clone(m.Servers), server)}
}

// Without returns the membership with a server removed.
func (m *Membership) Without(identity string) Membership {
	return Membership{Servers: slices.DeleteFunc(slices.Clone(m.Servers), func(s Server) bool {
		return s.Identity == identity
	})}
}

// Entry is one entry of the log: data for the state machine or a membership.
type Entry struct {
	Index      uint64
	Term       uint64
	Data       []byte      `cbor:",omitempty"`
	Membership *Membership `cbor:",omitempty"`
}

// Snapshot is the state machine's stored form after an index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// MessageKind tells what a Message is for.
type MessageKind uint8

// The kinds of message between servers.
const (
	KindPreVote MessageKind = iota + 1
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	KindInstall
	// KindLearn asks the leader to replicate to a server that is not a voter yet.
	KindLearn
	// KindTimeoutNow tells a voter to stand for election at once, since the leader stops.
	KindTimeoutNow
)

// aboutElection reports whether messages of the kind concern who leads.
func (k MessageKind) aboutElection() bool {
	switch k {
	case KindPreVote, KindPreVoteReply, KindVote, KindVoteReply, KindTimeoutNow:
		return true
	default:
		return false
	}
}

// Message is what servers send each other.
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

// Machine is the state machine that committed entries are applied to.
type Machine interface {
	// Apply executes committed data.
	Apply(index uint64, data []byte)
	// Save returns the stored form of the state.
	Save() ([]byte, error)
	// Load replaces the state by a stored form.
	Load(data []byte) error
}

// role is what a server does in a term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)
