package relay

import "time"

const (
	// batchInterval is the least time between two batches of orders or replies: the delay is small against the time
	// of an order, and at the peak a batch holds several of them.
	batchInterval = 5 * time.Millisecond
	// pingInterval is how often each relay is asked for a sign of life.
	pingInterval = 100 * time.Millisecond
	// silenceLimit is how long a relay may be silent before its orders go to the workers directly: several
	// lost pings and a round trip between regions, and less than the time limit of an order.
	silenceLimit = 350 * time.Millisecond
	// forgetAfter is how long after its last registration a relay is no longer pinged.
	forgetAfter = 10 * time.Second
)

// peer is what a Sender knows of one relay.
type peer struct {
	address      string
	dataCentre   string
	registeredAt time.Time
	// heardAt is when the relay replied last; zero if it never did.
	heardAt time.Time
	// clockMilli is the relay's clock in its latest reply to a ping, which arrived at clockAt.
	clockMilli int64
	clockAt    time.Time
	// lost is closed when the relay is considered unreachable; it is nil while the relay is not in use.
	lost chan struct{}
}

// usable reports whether orders may be sent through the relay.
func (p *peer) usable(now time.Time) bool {
	return p.lost != nil && now.Sub(p.heardAt) <= silenceLimit
}

// clock estimates the relay's clock in milliseconds. The relay's true clock is ahead by the time that its reply
// was under way, so an order seems older to the relay than it is, and never younger.
func (p *peer) clock(now time.Time) int64 {
	if p.clockMilli == 0 {
		return 0
	}

	return p.clockMilli + now.Sub(p.clockAt).Milliseconds()
}
