package group

import (
	"math"
	"sync/atomic"
	"time"
)

// tickHistory is for how many ticks their times are kept. It exceeds the ticks after which a leader without contact steps
// down.
const tickHistory = 32

// contact records when a majority last answered this process as their leader. The consensus measures that in ticks, which
// stand still while a write to the disk hangs; the times of the ticks do not. All methods but since are called on the
// driver's goroutine. The zero value has no contact.
type contact struct {
	ticks     int
	tickTimes [tickHistory]time.Time
	// at is when the contact was last known; nil for never.
	at atomic.Pointer[time.Time]
}

// tick records the time of a tick that is about to be processed.
func (c *contact) tick(at time.Time) {
	c.ticks++
	c.tickTimes[c.ticks%tickHistory] = at
}

// answered records that a majority has answered since a tick that was processed that many ticks ago.
func (c *contact) answered(ticksAgo int) {
	if ticksAgo >= tickHistory {
		c.lost()

		return
	}

	at := c.tickTimes[(c.ticks+tickHistory-ticksAgo)%tickHistory]
	c.at.Store(&at)
}

// lost records that this process does not lead.
func (c *contact) lost() {
	c.at.Store(nil)
}

// since returns how long ago the contact was last known.
func (c *contact) since() time.Duration {
	at := c.at.Load()
	if at == nil {
		return math.MaxInt64
	}

	return time.Since(*at)
}
