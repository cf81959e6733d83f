package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// meanWeight defines the weight of the newest response time in the moving average: 1/meanWeight.
const meanWeight = 8

// upstream is an executor of a service as seen by this entry. Its counts are guarded by the pool
// of its service.
type upstream struct {
	announcement mill.Announcement
	lastSeen     time.Time
	slotShare    int
	busy         int
	// connectionShare is the number of connections that this entry may open, and watchers how many
	// of them watchers use.
	connectionShare int
	watchers        int
	meanTime        time.Duration
	removed         bool
	// direct is set if the upstream has announced itself to this entry since the last heartbeats were sent.
	direct bool

	mu      sync.Mutex
	address string
	idle    []*conn
}

// takeConn returns an idle connection that is still usable, or a new one.
func (u *upstream) takeConn(ctx context.Context) (*conn, error) {
	for {
		c := u.popIdle()
		if c == nil {
			return dial(ctx, u.currentAddress())
		}

		if c.isUsable() {
			return c, nil
		}

		c.close()
	}
}

func (u *upstream) currentAddress() string {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.address
}

func (u *upstream) setAddress(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.address = address
}

func (u *upstream) popIdle() *conn {
	u.mu.Lock()
	defer u.mu.Unlock()

	if len(u.idle) == 0 {
		return nil
	}

	c := u.idle[len(u.idle)-1]
	u.idle = u.idle[:len(u.idle)-1]

	return c
}

// putConn returns a connection for reuse.
func (u *upstream) putConn(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.idle = append(u.idle, c)
}

// closeIdle closes the idle connections.
func (u *upstream) closeIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()

	for _, c := range u.idle {
		c.close()
	}

	u.idle = nil
}

// markSeen records when the upstream announced itself, and whether it did so to this entry.
func (u *upstream) markSeen(seenAt time.Time, direct bool) {
	u.direct = u.direct || direct

	if seenAt.After(u.lastSeen) {
		u.lastSeen = seenAt
	}
}

func (u *upstream) observeTime(took time.Duration) {
	if u.meanTime == 0 {
		u.meanTime = took

		return
	}

	u.meanTime += (took - u.meanTime) / meanWeight
}

// shareOf returns the share of an executor's slots for the entry at a position among count entries.
// The shares add up to exactly the slots.
func shareOf(slots, position, count int) int {
	share := slots / count
	if position < slots%count {
		share++
	}

	return share
}
