package core

import (
	"slices"
	"sync"
	"time"
)

// offsetMaxAge is how long the offset of another process's clock is used. It spans several
// calls of that process.
const offsetMaxAge = 3 * time.Second

// clockOffset is how far another process's wall clock was ahead of this one's.
type clockOffset struct {
	milli int64
	at    time.Time
}

// peerClocks estimates the wall-clock time as the median of several VMs' clocks, since any
// of them may jump. The zero value knows only this VM's clock.
type peerClocks struct {
	mu      sync.Mutex
	offsets map[string]clockOffset
}

// observe records the wall-clock time that a process has just sent.
func (c *peerClocks) observe(address string, unixMilli int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.offsets == nil {
		c.offsets = make(map[string]clockOffset)
	}

	c.offsets[address] = clockOffset{milli: unixMilli - now.UnixMilli(), at: now}
}

// medianUnixMilli returns the median wall-clock time, in milliseconds since 1970.
func (c *peerClocks) medianUnixMilli(now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	offsets := []int64{0}

	for address, known := range c.offsets {
		if now.Sub(known.at) > offsetMaxAge {
			delete(c.offsets, address)

			continue
		}

		offsets = append(offsets, known.milli)
	}

	slices.Sort(offsets)

	return now.UnixMilli() + offsets[(len(offsets)-1)/2]
}
