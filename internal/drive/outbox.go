package drive

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/ring"
	"github.com/cranberrymill/cranberrymill/internal/wire"
)

const (
	outboxCapacity = 1024
	outboxBatch    = 64
	deliverTime    = time.Second
)

// Batch is what one process delivers to another in one call.
type Batch[M any] struct {
	Messages []M
}

// Receipt answers a Batch.
type Receipt struct{}

// Outbox sends messages to peers in order, one goroutine for each address, and
// drops what finds its ring full.
type Outbox[M any] struct {
	ctx    context.Context
	client *wire.Client
	method string
	mu     sync.Mutex
	rings  map[string]*ring.Ring[M]
}

// NewOutbox returns an outbox that delivers by the method until the context ends.
func NewOutbox[M any](ctx context.Context, client *wire.Client, method string) *Outbox[M] {
	return &Outbox[M]{
		ctx:    ctx,
		client: client,
		method: method,
		rings:  make(map[string]*ring.Ring[M]),
	}
}

// Send queues a message for the process at address.
func (o *Outbox[M]) Send(address string, message M) {
	o.ring(address).Offer(message)
}

func (o *Outbox[M]) ring(address string) *ring.Ring[M] {
	o.mu.Lock()
	defer o.mu.Unlock()

	queue, ok := o.rings[address]
	if !ok {
		queue = ring.New[M](outboxCapacity)
		o.rings[address] = queue

		go o.run(address, queue)
	}

	return queue
}

func (o *Outbox[M]) run(address string, queue *ring.Ring[M]) {
	for {
		messages, err := queue.TakeBatch(o.ctx, outboxBatch)
		if err != nil {
			return
		}

		o.deliver(address, messages)
	}
}

// deliver drops what does not arrive: the machines send again by themselves.
func (o *Outbox[M]) deliver(address string, messages []M) {
	ctx, cancel := context.WithTimeout(o.ctx, deliverTime)
	defer cancel()

	_, _ = wire.Call[Batch[M], Receipt](ctx, o.client, address, o.method, &Batch[M]{Messages: messages})
}
