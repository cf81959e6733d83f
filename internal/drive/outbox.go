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
	// ackTimeout is how long a peer may take to acknowledge a batch. It is longer
	// than a round trip between regions and shorter than an election.
	ackTimeout = time.Second
	// minLinkRate is the rate in bytes per second at which a large batch is expected to be carried: 1.5 Mbit/s.
	minLinkRate = 1_500_000 / 8
)

// Outbox sends messages to peers in order, with one goroutine per address. It
// drops messages when the queue is full or the peer does not answer.
type Outbox[M any] struct {
	ctx    context.Context
	client *wire.Client
	method string
	// interval is the least time between two batches for one address.
	interval time.Duration
	mu       sync.Mutex
	queues   map[string]*ring.Ring[M]
}

// NewOutbox returns an outbox that delivers messages by calling method until the context ends.
func NewOutbox[M any](ctx context.Context, client *wire.Client, method string) *Outbox[M] {
	return &Outbox[M]{
		ctx:    ctx,
		client: client,
		method: method,
		queues: make(map[string]*ring.Ring[M]),
	}
}

// SetInterval sets the least time between two batches for one address, so that frequent messages share batches.
// A message after a longer pause is sent at once. It must be called before Send.
func (o *Outbox[M]) SetInterval(interval time.Duration) {
	o.interval = interval
}

// Send queues a message for the process at address, and reports false if the queue is full.
func (o *Outbox[M]) Send(address string, message M) bool {
	return o.queueFor(address).Offer(message)
}

func (o *Outbox[M]) queueFor(address string) *ring.Ring[M] {
	o.mu.Lock()
	defer o.mu.Unlock()

	queue, ok := o.queues[address]
	if !ok {
		queue = ring.New[M](outboxCapacity)
		o.queues[address] = queue

		go o.deliverFrom(address, queue)
	}

	return queue
}

// deliverFrom delivers queued messages without waiting for acknowledgments, so
// that a long round trip does not delay later messages. It does not retry lost
// messages, since the state machines resend by themselves.
func (o *Outbox[M]) deliverFrom(address string, queue *ring.Ring[M]) {
	var (
		current   *delivery[M]
		connected = true
		sentAt    time.Time
		unpacks   atomic.Bool
	)

	for {
		if wait := o.interval - time.Since(sentAt); wait > 0 {
			Pause(o.ctx, wait)
		}

		messages, err := queue.TakeBatch(o.ctx, outboxBatch)
		if err != nil {
			return
		}

		sentAt = time.Now()

		if current.needsReopen() {
			current.close()

			current, err = openDelivery[M](o.ctx, o.client, address, o.method, &unpacks)
			connected = logConnection(address, connected, err)
		}

		if current != nil && !current.send(messages) {
			current.close()

			current = nil
		}
	}
}

// logConnection logs when a peer becomes unreachable or reachable again, and
// returns whether it is connected.
func logConnection(address string, connected bool, err error) bool {
	switch {
	case connected && err != nil:
		log.Warn().Str("peer", address).Err(err).Msg("peer unreachable")
	case !connected && err == nil:
		log.Info().Str("peer", address).Msg("peer reachable again")
	default:
	}

	return err == nil
}

// delivery is a stream of batches to one peer.
type delivery[M any] struct {
	stream         *wire.Stream[Batch[M], Receipt]
	cancel         context.CancelFunc
	unackedBatches atomic.Int64
	// lastAck is when the peer last acknowledged a batch or had none to acknowledge.
	lastAck atomic.Pointer[time.Time]
	broken  atomic.Bool
	// transferTime is how long the last large batch may take beyond ackTimeout; 0 once nothing is unacknowledged.
	transferTime atomic.Int64
	// unpacks says that the process that answered last at the peer's address takes compressed batches.
	unpacks *atomic.Bool
}

func openDelivery[M any](
	ctx context.Context, client *wire.Client, address, method string, unpacks *atomic.Bool,
) (*delivery[M], error) {
	ctx, cancel := context.WithCancel(ctx)

	stream, err := wire.OpenStream[Batch[M], Receipt](ctx, client, address, method)
	if err != nil {
		cancel()

		return nil, err
	}

	d := &delivery[M]{stream: stream, cancel: cancel, unpacks: unpacks}
	d.recordAck()

	go d.receiveAcks()

	return d, nil
}

func (d *delivery[M]) receiveAcks() {
	for {
		receipt, err := d.stream.Receive()
		if err != nil {
			d.broken.Store(true)

			return
		}

		d.unpacks.Store(receipt.Unpacks)
		d.unackedBatches.Add(-1)
		d.recordAck()
	}
}

func (d *delivery[M]) recordAck() {
	now := time.Now()
	d.lastAck.Store(&now)
}

// needsReopen reports whether the stream is missing, broken or past ackTimeout without an acknowledgment.
func (d *delivery[M]) needsReopen() bool {
	if d == nil || d.broken.Load() {
		return true
	}

	if d.unackedBatches.Load() == 0 {
		d.recordAck()
		d.transferTime.Store(0)

		return false
	}

	return time.Since(*d.lastAck.Load()) > d.ackLimit()
}

// ackLimit returns how long the peer may take to acknowledge a batch.
func (d *delivery[M]) ackLimit() time.Duration {
	return ackTimeout + time.Duration(d.transferTime.Load())
}

func (d *delivery[M]) send(messages []M) bool {
	data, err := EncodeBatch(messages, d.unpacks.Load())
	if err != nil {
		log.Error().Err(err).Int("messages", len(messages)).Msg("messages for a peer cannot be encoded, dropping them")

		return true
	}

	if len(data) >= wire.PackBytes {
		d.transferTime.Store(int64(len(data)) * int64(time.Second) / minLinkRate)
	}

	d.unackedBatches.Add(1)

	// A peer that does not read blocks the writer, so a send has a timeout of its own.
	timer := time.AfterFunc(d.ackLimit(), d.cancel)
	defer timer.Stop()

	return d.stream.SendEncoded(data) == nil
}

func (d *delivery[M]) close() {
	if d == nil {
		return
	}

	d.cancel()
	_ = d.stream.Close() // The peer may be gone, so an error needs no handling.
}
