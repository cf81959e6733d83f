package entry

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// The RPC methods of an entry, which other entries call.
const (
	MethodGossip   = "entry.Gossip"
	MethodSummary  = "entry.Summary"
	MethodDispatch = "entry.Dispatch"
	MethodAlive    = "entry.Alive"
)

// Gossip informs another entry of the same data centre about upstreams: Changes holds full announcements,
// and Heartbeats, sent every second, refreshes the known ones.
type Gossip struct {
	Changes    []AgedAnnouncement  `cbor:",omitempty"`
	Departures []Departure         `cbor:"Left,omitempty"`
	Heartbeats []UpstreamHeartbeat `cbor:"Beats,omitempty"`
}

// AgedAnnouncement is an announcement and the time since it was received.
type AgedAnnouncement struct {
	Announcement mill.Announcement `cbor:"Told"`
	AgeMilli     int64
}

// Departure identifies an upstream that has left.
type Departure struct {
	ID          string
	Incarnation uint64
}

// UpstreamHeartbeat holds the time since the latest announcement of an upstream. It is encoded as an
// array, since most of the traffic between entries is heartbeats.
type UpstreamHeartbeat struct {
	_ struct{} `cbor:",toarray"`

	ID          string
	Incarnation uint64
	AgeMilli    int64
}

// GossipReply holds the ids of the upstreams in Heartbeats that the receiver does not know.
type GossipReply struct {
	Missing []string `cbor:",omitempty"`
}

// Summary informs the entries of other data centres of the number of slots of each service in this one.
type Summary struct {
	DataCentre string
	Slots      map[string]int
}

// SummaryReply is the reply to a Summary.
type SummaryReply struct{}

// DispatchRequest asks an entry of another data centre to run a request there. DeadlineMilli is the
// time that remains until the deadline.
type DispatchRequest struct {
	Service       string
	ID            string
	Request       []byte
	DeadlineMilli int64
	Idempotent    bool
}

// DispatchReply is the outcome of the request in the other data centre.
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
