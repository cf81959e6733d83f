package ledger

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// MessageKind is the type of a Message.
type MessageKind uint8

// The types of messages between the replicas of a ledger.
const (
	// KindAppendEntries carries entries from the primary, or none as a heartbeat.
	KindAppendEntries MessageKind = iota + 1
	// KindInstallSnapshot carries a snapshot from the primary.
	KindInstallSnapshot
	// KindAck acknowledges the primary's log up to an index.
	KindAck
	// KindReject tells the primary after which index to resume, or that its ballot is stale.
	KindReject
	// KindJoin asks the primary to add the sender as a learner.
	KindJoin
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
