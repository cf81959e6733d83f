package drive

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// receiver records the texts that it receives.
type receiver struct {
	mu       sync.Mutex
	received []string
}

func (r *receiver) handle(messages []string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.received = append(r.received, messages...)
}

func (r *receiver) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.received)
}

// earlierBatch and earlierReceipt are the messages of the earlier build.
type (
	earlierBatch   struct{ Messages []string }
	earlierReceipt struct{}
)

// TestLargeBatchesReachBothBuilds guards against compressed messages that a process of the earlier build takes for empty
// ones, and against losing or changing messages that are compressed.
func TestLargeBatchesReachBothBuilds(t *testing.T) {
	for name, earlier := range map[string]bool{"this build": false, "earlier build": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)

			r, server := &receiver{}, &wire.Server{}
			if earlier {
				wire.HandleStream(server, "m", func(_ context.Context, batch *earlierBatch) (*earlierReceipt, error) {
					r.handle(batch.Messages)

					return &earlierReceipt{}, nil
				})
			} else {
				HandleBatches(server, "m", r.handle)
			}

			go func() { _ = server.Serve(t.Context(), listener) }()

			outbox := NewOutbox[string](t.Context(), wire.NewClient(), "m")
			large := strings.Repeat("large ", wire.PackBytes)

			for i := range 5 {
				assert.Assert(t, outbox.Send(listener.Addr().String(), large))
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if r.count() != i+1 {
						return poll.Continue("%d messages", r.count())
					}

					return poll.Success()
				}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
			}

			for _, text := range r.received {
				assert.Assert(t, text == large, "a message has changed")
			}
		})
	}
}

// TestOnlyLargeBatchesArePacked checks that small batches, and those for the earlier build, are sent as they are.
func TestOnlyLargeBatchesArePacked(t *testing.T) {
	large := []string{strings.Repeat("large ", wire.PackBytes)}

	for _, c := range []struct {
		messages []string
		unpacks  bool
		packed   bool
	}{{large, true, true}, {large, false, false}, {[]string{"small"}, true, false}} {
		data, err := EncodeBatch(c.messages, c.unpacks)
		assert.NilError(t, err)

		var batch Batch[string]

		assert.NilError(t, wire.Decode(data, &batch))
		assert.Equal(t, len(batch.Packed) > 0, c.packed)

		messages, err := batch.unpack()
		assert.NilError(t, err)
		assert.DeepEqual(t, messages, c.messages)
	}
}
