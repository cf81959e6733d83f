package stand

import (
	"strings"
	"sync/atomic"
)

// balancer distributes calls over the entries in turn, in place of the platform's load balancer.
type balancer struct {
	entries []string
	next    atomic.Uint64
}

func newBalancer(entries string) *balancer {
	return &balancer{entries: strings.Split(entries, ",")}
}

// pick returns the address of the next entry in turn.
func (b *balancer) pick() string {
	n := b.next.Add(1)

	return b.entries[n%uint64(len(b.entries))]
}
