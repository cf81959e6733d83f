package ledger

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// MessageKind tells what a Message is for.
type MessageKind uint8

// The kinds of message between the replicas of a ledger.
const (
	// KindAppend carries entries, or none as a heartbeat, from the primary.
	KindAppend MessageKind = iota + 1
	// KindInstall carries a snapshot from the primary.
	KindInstall
	// KindAck tells the primary up to where the replica has its log.
	KindAck
	// KindRefuse tells the primary where to start again, or that it is stale.
	KindRefuse
	// KindLearn asks the primary for admission.
	KindLearn
)

// Message is what replicas of a ledger send each other.
type Message struct {
	Kind       MessageKind
	Ledger     string
	From       mill.Member
	To         string
	Address    string
	Ballot     Ballot
	Prev       uint64  `cbor:",omitempty"`
	PrevBallot Ballot  `cbor:",omitempty"`
	Entries    []Entry `cbor:",omitempty"`
	Commit     uint64  `cbor:",omitempty"`
	Index      uint64  `cbor:",omitempty"`
	Snapshot   []byte  `cbor:",omitempty"`
}
