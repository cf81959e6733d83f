package core

import (
	"slices"
	"sync"
	"time"
)

// clockAge is how long another process's time of day counts: several of its calls.
const clockAge = 3 * time.Second

// offset is by how much another process's time of day was ahead of this one's.
type offset struct {
	milli int64
	at    time.Time
}

// clocks compares the times of day of several VMs, since each may jump; its zero
// value knows only this one's.
type clocks struct {
	mu      sync.Mutex
	offsets map[string]offset
}

// observe takes note of a time of day that a process has just sent.
func (c *clocks) observe(address string, unixMilli int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.offsets == nil {
		c.offsets = make(map[string]offset)
	}

	c.offsets[address] = offset{milli: unixMilli - now.UnixMilli(), at: now}
}

// wallMilli returns the median time of day, in milliseconds since 1970.
func (c *clocks) wallMilli(now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	list := []int64{0}

	for address, known := range c.offsets {
		if now.Sub(known.at) > clockAge {
			delete(c.offsets, address)

			continue
		}

		list = append(list, known.milli)
	}

	slices.Sort(list)

	return now.UnixMilli() + list[(len(list)-1)/2]
}
