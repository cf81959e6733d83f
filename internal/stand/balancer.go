package stand

import (
	"strings"
	"sync/atomic"
)

// balancer spreads calls over entries as the platform's balancer would.
type balancer struct {
	entries []string
	next    atomic.Uint64
}

func newBalancer(entries string) *balancer {
	return &balancer{entries: strings.Split(entries, ",")}
}

// pick returns the next entry in turn.
func (b *balancer) pick() string {
	at := b.next.Add(1)

	return b.entries[at%uint64(len(b.entries))]
}
