package ledger

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// MessageKind is the type of a Message.
type MessageKind uint8

// The types of messages between the replicas of a ledger.
const (
	// KindAppend carries entries from the primary, or none as a heartbeat.
	KindAppend MessageKind = iota + 1
	// KindInstall carries a snapshot from the primary.
	KindInstall
	// KindAck acknowledges the primary's log up to an index.
	KindAck
	// KindRefuse tells the primary after which index to resume, or that its ballot is stale.
	KindRefuse
	// KindLearn asks the primary to add the sender as a learner.
	KindLearn
)

// Message is a message between replicas of a ledger. Prev and PrevBallot
// identify the entry before Entries, or the last one that Snapshot includes.
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
