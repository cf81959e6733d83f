package core

import (
	"context"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/drive"
)

// watchTimeout is the longest time that a process holds back its reply to one that waits for the leader of a later term.
const watchTimeout = 2 * time.Second

// watch has another core process than the leader say at once when there is a new one. A leader that is suspended or cut off
// answers nothing, so its own replies show only after their time limit that it has been replaced.
func (c *LeaderClient) watch(ctx context.Context) {
	address := c.nextProcess()

	for ctx.Err() == nil {
		leader, term := c.currentLeader()
		if leader == "" || address == "" || address == leader || c.isEarlierBuild(address) {
			drive.Pause(ctx, longPollTimeout)

			address = c.nextProcess()

			continue
		}

		if err := c.ask(ctx, address, watchTimeout, term); err != nil {
			drive.Pause(ctx, retryInterval)

			address = c.nextProcess()
		}
	}
}

// leaderCalls holds the calls that wait for the reply of one leader. Its zero value is ready for use.
type leaderCalls struct {
	next    int
	abandon map[int]context.CancelFunc
}

// abandonWithLeader has a call be abandoned as soon as another leader is known, so that it is sent to that one. The caller
// calls the result when the call has ended.
func (c *LeaderClient) abandonWithLeader(leader string, abandon context.CancelFunc) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.leader != leader {
		return func() {}
	}

	if c.calls.abandon == nil {
		c.calls.abandon = make(map[int]context.CancelFunc)
	}

	id := c.calls.next
	c.calls.next++
	c.calls.abandon[id] = abandon

	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()

		delete(c.calls.abandon, id)
	}
}

// abandonCalls abandons the calls to an earlier leader. The caller holds the lock.
func (c *LeaderClient) abandonCalls() {
	for _, abandon := range c.calls.abandon {
		abandon()
	}

	clear(c.calls.abandon)
}
