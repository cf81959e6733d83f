package entry

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// The methods that entries call on each other.
const (
	MethodGossip   = "entry.Gossip"
	MethodSummary  = "entry.Summary"
	MethodDispatch = "entry.Dispatch"
	MethodAlive    = "entry.Alive"
)

// Gossip tells an entry of the same data centre about upstreams: Changes
// whole, Left by id, and the others by a Beat each second.
type Gossip struct {
	Changes []Heard `cbor:",omitempty"`
	Left    []Left  `cbor:",omitempty"`
	Beats   []Beat  `cbor:",omitempty"`
}

// Heard is an announcement with its age.
type Heard struct {
	Told     mill.Announcement
	AgeMilli int64
}

// Left names an upstream that has left.
type Left struct {
	ID          string
	Incarnation uint64
}

// Beat says that an upstream was heard. It travels as an array, since beats are
// most of what entries send each other.
type Beat struct {
	_ struct{} `cbor:",toarray"`

	ID          string
	Incarnation uint64
	AgeMilli    int64
}

// GossipReply names the upstreams of the beats that the receiver does not know.
type GossipReply struct {
	Missing []string `cbor:",omitempty"`
}

// Summary tells another data centre which services have slots in this one.
type Summary struct {
	DataCentre string
	Slots      map[string]int
}

// SummaryReply answers a Summary.
type SummaryReply struct{}

// DispatchRequest asks an entry of another data centre to run a request there.
type DispatchRequest struct {
	Service       string
	ID            string
	Request       []byte
	DeadlineMilli int64
	Idempotent    bool
}

// DispatchReply tells how the request ended there.
type DispatchReply struct {
	Outcome  mill.Outcome
	Status   int
	Reason   string
	Response []byte
}

// AliveRequest asks an entry for its incarnation.
type AliveRequest struct{}

// AliveReply holds the incarnation of an entry.
type AliveReply struct {
	Incarnation uint64
}
