package ctrl

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAwaitVersion expects AwaitVersion to block until the version is received, and not to block after
// its context has ended.
func TestAwaitVersion(t *testing.T) {
	w := NewWatcher(nil, nil)
	seen := make(chan bool, 1)

	go func() { seen <- w.AwaitVersion(context.Background(), 2) }()

	w.publish(&View{Revision: 1, Version: 1})
	assert.Equal(t, len(seen), 0)

	w.publish(&View{Revision: 2, Version: 2})
	assert.Assert(t, <-seen)

	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, !w.AwaitVersion(ended, 3))
}
