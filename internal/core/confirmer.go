package core

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// confirmer confirms this process's leadership for many calls at once. Anyone can send calls with unknown keys, jobs and
// queues, and each answer needs a confirmation: an entry of the log for each would let them fill the log.
type confirmer struct {
	// confirm commits an empty entry.
	confirm func(ctx context.Context) error

	mu sync.Mutex
	// next is the confirmation that has not begun yet, or nil if no call waits for one.
	next *confirmation
	busy bool
}

// confirmation is one attempt to confirm the leadership; err is valid once done is closed.
type confirmation struct {
	done chan struct{}
	err  error
}

// wait returns the result of a confirmation that begins after the call of wait.
func (c *confirmer) wait(ctx context.Context) error {
	joined := c.join()

	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}
}

func (c *confirmer) join() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}

	if !c.busy {
		c.busy = true

		go c.run()
	}

	return c.next
}

// run confirms until no call waits.
func (c *confirmer) run() {
	for {
		current := c.take()
		if current == nil {
			return
		}

		// The calls' own contexts end at different times, so the attempt has a limit of its own.
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		current.err = c.confirm(ctx)

		cancel()
		close(current.done)
	}
}

// take returns the next confirmation, which no further call joins, or nil if no call waits.
func (c *confirmer) take() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()

	current := c.next
	c.next = nil
	c.busy = current != nil

	return current
}
