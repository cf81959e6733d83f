package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// meanWeight is the share of the newest time in the mean, as 1 in meanWeight.
const meanWeight = 8

// upstream is one executor of a service as this entry sees it. Its counts
// belong to the lane of its service.
type upstream struct {
	told  mill.Announcement
	heard time.Time
	share int
	busy  int
	// connections and watchers are this entry's part of the connections, and
	// how many of them watchers hold.
	connections int
	watchers    int
	mean        time.Duration
	leaving     bool
	// direct is set when the upstream itself was heard since the last beats.
	direct bool

	mu      sync.Mutex
	address string
	idle    []*conn
}

// take returns an idle connection that still lives, or a new one.
func (u *upstream) take(ctx context.Context) (*conn, error) {
	for {
		c := u.pop()
		if c == nil {
			return dial(ctx, u.where())
		}

		if c.alive() {
			return c, nil
		}

		c.close()
	}
}

func (u *upstream) where() string {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.address
}

func (u *upstream) move(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.address = address
}

func (u *upstream) pop() *conn {
	u.mu.Lock()
	defer u.mu.Unlock()

	if len(u.idle) == 0 {
		return nil
	}

	c := u.idle[len(u.idle)-1]
	u.idle = u.idle[:len(u.idle)-1]

	return c
}

// give puts a connection back for the next request.
func (u *upstream) give(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.idle = append(u.idle, c)
}

// closeIdle closes the idle connections of an upstream that has left.
func (u *upstream) closeIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()

	for _, c := range u.idle {
		c.close()
	}

	u.idle = nil
}

// hear notes that the upstream lived at a time, and whether it said so itself.
func (u *upstream) hear(at time.Time, direct bool) {
	u.direct = u.direct || direct

	if at.After(u.heard) {
		u.heard = at
	}
}

func (u *upstream) observe(took time.Duration) {
	if u.mean == 0 {
		u.mean = took

		return
	}

	u.mean += (took - u.mean) / meanWeight
}

// shareOf returns the part of an executor's slots that is for the entry at a
// position among count entries: the parts add up to the slots, never to more.
func shareOf(slots, position, count int) int {
	share := slots / count
	if position < slots%count {
		share++
	}

	return share
}
