package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/ring"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	clientRing    = 8192
	clientBatch   = 256
	clientSenders = 4
	clientPause   = 20 * time.Millisecond
	callTime      = time.Second
)

// pending is a command of a caller that waits for its result.
type pending struct {
	ctx     context.Context
	command Command
	reply   chan outcome
}

// outcome is how a pending command ended.
type outcome struct {
	result Result
	err    error
}

// Client writes to the ledgers of all data centres, many commands in one call.
type Client struct {
	ctx     context.Context
	wire    *wire.Client
	control *ctrl.Watcher
	stores  map[string][]string
	batch   int
	mu      sync.Mutex
	lanes   map[string]*lane
}

// NewClient returns a client that works until the context ends; stores holds
// the addresses of the copies of each ledger.
func NewClient(
	ctx context.Context, client *wire.Client, control *ctrl.Watcher, stores map[string][]string,
) *Client {
	return &Client{
		ctx:     ctx,
		wire:    client,
		control: control,
		stores:  stores,
		batch:   clientBatch,
		lanes:   make(map[string]*lane),
	}
}

// SetBatch bounds the commands in one call; 0 means the default.
func (c *Client) SetBatch(batch int) {
	if batch > 0 {
		c.batch = batch
	}
}

// Propose commits a command and returns its result. After mill.ErrUnavailable
// the command may or may not be committed; after mill.ErrFull or
// mill.ErrNotFound it is not.
func (c *Client) Propose(ctx context.Context, ledger string, command Command) (Result, error) {
	l, err := c.lane(ledger)
	if err != nil {
		return Result{}, err
	}

	p := pending{ctx: ctx, command: command, reply: make(chan outcome, 1)}
	if !l.queue.Offer(p) {
		return Result{}, mill.ErrFull
	}

	select {
	case done := <-p.reply:
		return done.result, done.err
	case <-ctx.Done():
		return Result{}, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	case <-c.ctx.Done():
		return Result{}, merry.Prepend(mill.ErrUnavailable, "stopping", merry.NoCaptureStack())
	}
}

// Find returns a job of a ledger.
func (c *Client) Find(ctx context.Context, ledger, job string) (*FindReply, error) {
	return ask[FindRequest, FindReply](ctx, c, ledger, MethodFind, &FindRequest{Ledger: ledger, Job: job})
}

// Changes returns jobs changed after an index.
func (c *Client) Changes(ctx context.Context, request *ChangesRequest) (*ChangesReply, error) {
	return ask[ChangesRequest, ChangesReply](ctx, c, request.Ledger, MethodChanges, request)
}

// Status returns what each copy of a ledger that answers says of it.
func (c *Client) Status(ctx context.Context, ledger string) []StatusReply {
	var replies []StatusReply

	for _, address := range c.stores[ledger] {
		reply, err := wire.Call[StatusRequest, StatusReply](
			ctx, c.wire, address, MethodStatus, &StatusRequest{Ledger: ledger})
		if err == nil {
			replies = append(replies, *reply)
		}
	}

	return replies
}

// ask calls the copies in turn until the primary answers.
func ask[Request, Reply any](
	ctx context.Context, c *Client, ledger, method string, request *Request,
) (*Reply, error) {
	last := merry.Prependf(mill.ErrNotFound, "ledger %q", ledger)

	for _, address := range c.addresses(ledger) {
		reply, err := wire.Call[Request, Reply](ctx, c.wire, address, method, request)
		if err == nil {
			return reply, nil
		}

		last = err
	}

	return nil, last
}

// addresses returns where the copies are, the primary of the latest epoch known first.
func (c *Client) addresses(ledger string) []string {
	stores := c.stores[ledger]
	epoch := c.control.View().Epoch(ledger)

	if epoch.Number == 0 {
		return stores
	}

	ordered := []string{epoch.Primary.Address}

	for _, address := range stores {
		if address != epoch.Primary.Address {
			ordered = append(ordered, address)
		}
	}

	return ordered
}

func (c *Client) lane(ledger string) (*lane, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if l, ok := c.lanes[ledger]; ok {
		return l, nil
	}

	if len(c.stores[ledger]) == 0 {
		return nil, merry.Prependf(mill.ErrNotFound, "ledger %q", ledger)
	}

	l := &lane{client: c, ledger: ledger, queue: ring.New[pending](clientRing)}
	c.lanes[ledger] = l

	for range clientSenders {
		go l.run(c.ctx)
	}

	return l, nil
}

// lane is the queue of commands for one ledger.
type lane struct {
	client *Client
	ledger string
	queue  *ring.Ring[pending]
}

func (l *lane) run(ctx context.Context) {
	for {
		batch, err := l.queue.TakeBatch(ctx, l.client.batch)
		if err != nil {
			return
		}

		l.send(ctx, batch)
	}
}

// send tries a batch until it is committed, refused, or nobody waits for it.
func (l *lane) send(ctx context.Context, batch []pending) {
	for ctx.Err() == nil {
		batch = live(batch)
		if len(batch) == 0 {
			return
		}

		for _, address := range l.client.addresses(l.ledger) {
			if l.sendTo(ctx, address, batch) {
				return
			}
		}

		time.Sleep(clientPause)
	}
}

// sendTo reports whether the batch has its results.
func (l *lane) sendTo(ctx context.Context, address string, batch []pending) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()

	request := &ProposeRequest{Ledger: l.ledger, Commands: make([]Command, len(batch))}
	for i := range batch {
		request.Commands[i] = batch[i].command
	}

	reply, err := wire.Call[ProposeRequest, ProposeReply](ctx, l.client.wire, address, MethodPropose, request)
	if err != nil || len(reply.Results) != len(batch) {
		return false
	}

	for i := range batch {
		batch[i].reply <- outcome{result: reply.Results[i]}
	}

	return true
}

// live returns the commands whose callers still wait.
func live(batch []pending) []pending {
	var waiting []pending

	for i := range batch {
		if batch[i].ctx.Err() == nil {
			waiting = append(waiting, batch[i])
		}
	}

	return waiting
}
