package core

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestConfirmationsAreShared guards against a log entry for each call with an unknown key, and against an answer by a
// confirmation that began before the call: what was committed between them would be denied.
func TestConfirmationsAreShared(t *testing.T) {
	var (
		calls    sync.WaitGroup
		begun    atomic.Int64
		entered  = make(chan struct{})
		released = make(chan struct{})
	)

	c := &confirmer{confirm: func(context.Context) error {
		if begun.Add(1) == 1 {
			close(entered)
			<-released

			return nil
		}

		return mill.ErrNotPrimary
	}}

	calls.Go(func() { assert.Check(t, c.wait(t.Context())) })
	<-entered

	// These calls come while the first confirmation is under way.
	joined := []*confirmation{c.join(), c.join()}

	close(released)

	for _, confirmation := range joined {
		<-confirmation.done
		assert.ErrorIs(t, confirmation.err, mill.ErrNotPrimary)
	}

	calls.Wait()
	assert.Equal(t, begun.Load(), int64(2))
}
