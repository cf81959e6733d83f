package drive

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/ring"
	"github.com/cranberrymill/cranberrymill/internal/wire"
)

const (
	outboxCapacity = 1024
	outboxBatch    = 64
	// deliverTime is how long a peer may take to acknowledge a batch: longer
	// than a round trip between regions, shorter than an election.
	deliverTime = time.Second
)

// Batch is what one process delivers to another in one message of a stream.
type Batch[M any] struct {
	Messages []M
}

// Receipt acknowledges a Batch.
type Receipt struct{}

// Outbox sends messages to peers in order, one goroutine for each address, and
// drops what finds its ring full or its peer silent.
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

// run delivers without waiting for acknowledgments, so that a long round trip
// does not hold up what comes next. What does not arrive is lost: the machines
// send again by themselves.
func (o *Outbox[M]) run(address string, queue *ring.Ring[M]) {
	var (
		current *delivery[M]
		up      = true
	)

	for {
		messages, err := queue.TakeBatch(o.ctx, outboxBatch)
		if err != nil {
			return
		}

		if current.stale() {
			current.end()

			current, err = openDelivery[M](o.ctx, o.client, address, o.method)
			up = logLink(address, up, err)
		}

		if current != nil && !current.send(messages) {
			current.end()

			current = nil
		}
	}
}

// logLink logs that a peer was lost or found again, and returns whether it is there.
func logLink(address string, up bool, err error) bool {
	switch {
	case up && err != nil:
		log.Warn().Str("peer", address).Err(err).Msg("peer lost")
	case !up && err == nil:
		log.Info().Str("peer", address).Msg("peer found")
	default:
	}

	return err == nil
}

// delivery is one stream of batches to a peer.
type delivery[M any] struct {
	stream  *wire.Stream[Batch[M], Receipt]
	cancel  context.CancelFunc
	unacked atomic.Int64
	// heard is when the peer acknowledged a batch last, or had none to acknowledge.
	heard  atomic.Pointer[time.Time]
	broken atomic.Bool
}

func openDelivery[M any](ctx context.Context, client *wire.Client, address, method string) (*delivery[M], error) {
	ctx, cancel := context.WithCancel(ctx)

	stream, err := wire.OpenStream[Batch[M], Receipt](ctx, client, address, method)
	if err != nil {
		cancel()

		return nil, err
	}

	d := &delivery[M]{stream: stream, cancel: cancel}
	d.touch()

	go d.acknowledge()

	return d, nil
}

func (d *delivery[M]) acknowledge() {
	for {
		if _, err := d.stream.Receive(); err != nil {
			d.broken.Store(true)

			return
		}

		d.unacked.Add(-1)
		d.touch()
	}
}

func (d *delivery[M]) touch() {
	now := time.Now()
	d.heard.Store(&now)
}

// stale reports whether a new stream is needed.
func (d *delivery[M]) stale() bool {
	if d == nil || d.broken.Load() {
		return true
	}

	if d.unacked.Load() == 0 {
		d.touch()

		return false
	}

	return time.Since(*d.heard.Load()) > deliverTime
}

func (d *delivery[M]) send(messages []M) bool {
	d.unacked.Add(1)

	// A peer that does not read blocks the writer, so a send has a limit of its own.
	limit := time.AfterFunc(deliverTime, d.cancel)
	defer limit.Stop()

	return d.stream.Send(&Batch[M]{Messages: messages}) == nil
}

func (d *delivery[M]) end() {
	if d == nil {
		return
	}

	d.cancel()
	_ = d.stream.Close() // The peer may be gone: there is nothing left to do for it.
}
