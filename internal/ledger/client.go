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
	clientQueueCapacity = 8192
	clientMaxBatch      = 256
	clientSenders       = 4
	clientRetryPause    = 20 * time.Millisecond
	callTimeout         = time.Second
)

// pendingCommand is a command whose caller waits for the result.
type pendingCommand struct {
	ctx     context.Context
	command Command
	reply   chan commandOutcome
}

// commandOutcome is the result of a pending command or the error it failed with.
type commandOutcome struct {
	result Result
	err    error
}

// Client reads from and writes to the ledgers of all data centres. It batches
// the commands for a ledger.
type Client struct {
	ctx            context.Context
	wire           *wire.Client
	control        *ctrl.Watcher
	storeAddresses map[string][]string
	maxBatch       int
	mu             sync.Mutex
	queues         map[string]*commandQueue
}

// NewClient returns a client that works until the context ends; stores holds
// the addresses of the replicas of each ledger.
func NewClient(
	ctx context.Context, client *wire.Client, control *ctrl.Watcher, stores map[string][]string,
) *Client {
	return &Client{
		ctx:            ctx,
		wire:           client,
		control:        control,
		storeAddresses: stores,
		maxBatch:       clientMaxBatch,
		queues:         make(map[string]*commandQueue),
	}
}

// SetMaxBatch sets the maximum number of commands in one call; 0 means the default.
func (c *Client) SetMaxBatch(batch int) {
	if batch > 0 {
		c.maxBatch = batch
	}
}

// Propose commits a command and returns its result. After mill.ErrUnavailable
// the command may or may not have been committed; after mill.ErrFull or
// mill.ErrNotFound it has not.
func (c *Client) Propose(ctx context.Context, ledger string, command Command) (Result, error) {
	q, err := c.queueFor(ledger)
	if err != nil {
		return Result{}, err
	}

	pending := pendingCommand{ctx: ctx, command: command, reply: make(chan commandOutcome, 1)}
	if !q.pending.Offer(pending) {
		return Result{}, mill.ErrFull
	}

	select {
	case outcome := <-pending.reply:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return Result{}, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	case <-c.ctx.Done():
		return Result{}, merry.Prepend(mill.ErrUnavailable, "the ledger client is stopping", merry.NoCaptureStack())
	}
}

// Find returns a job of a ledger.
func (c *Client) Find(ctx context.Context, ledger, job string) (*FindReply, error) {
	return callPrimary[FindRequest, FindReply](ctx, c, ledger, MethodFind, &FindRequest{Ledger: ledger, Job: job})
}

// Changes returns the jobs changed after an index.
func (c *Client) Changes(ctx context.Context, request *ChangesRequest) (*ChangesReply, error) {
	return callPrimary[ChangesRequest, ChangesReply](ctx, c, request.Ledger, MethodChanges, request)
}

// Status returns the status of a ledger from each replica that answers.
func (c *Client) Status(ctx context.Context, ledger string) []StatusReply {
	var replies []StatusReply

	for _, address := range c.storeAddresses[ledger] {
		reply, err := wire.Call[StatusRequest, StatusReply](
			ctx, c.wire, address, MethodStatus, &StatusRequest{Ledger: ledger})
		if err == nil {
			replies = append(replies, *reply)
		}
	}

	return replies
}

// callPrimary calls the replicas in turn until one answers, which only the primary does.
func callPrimary[Request, Reply any](
	ctx context.Context, c *Client, ledger, method string, request *Request,
) (*Reply, error) {
	lastErr := merry.Prependf(mill.ErrNotFound, "ledger %q", ledger)

	for _, address := range c.addresses(ledger) {
		reply, err := wire.Call[Request, Reply](ctx, c.wire, address, method, request)
		if err == nil {
			return reply, nil
		}

		lastErr = err
	}

	return nil, lastErr
}

// addresses returns the addresses of the replicas, starting with the primary of the latest known epoch.
func (c *Client) addresses(ledger string) []string {
	stores := c.storeAddresses[ledger]
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

func (c *Client) queueFor(ledger string) (*commandQueue, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if q, ok := c.queues[ledger]; ok {
		return q, nil
	}

	if len(c.storeAddresses[ledger]) == 0 {
		return nil, merry.Prependf(mill.ErrNotFound, "ledger %q", ledger)
	}

	q := &commandQueue{client: c, ledger: ledger, pending: ring.New[pendingCommand](clientQueueCapacity)}
	c.queues[ledger] = q

	for range clientSenders {
		go q.sendBatches(c.ctx)
	}

	return q, nil
}

// commandQueue queues the commands for one ledger.
type commandQueue struct {
	client  *Client
	ledger  string
	pending *ring.Ring[pendingCommand]
}

func (q *commandQueue) sendBatches(ctx context.Context) {
	for {
		batch, err := q.pending.TakeBatch(ctx, q.client.maxBatch)
		if err != nil {
			return
		}

		q.send(ctx, batch)
	}
}

// send retries a batch until the primary returns its results or no caller waits for them.
func (q *commandQueue) send(ctx context.Context, batch []pendingCommand) {
	for ctx.Err() == nil {
		batch = withoutCanceled(batch)
		if len(batch) == 0 {
			return
		}

		for _, address := range q.client.addresses(q.ledger) {
			if q.sendTo(ctx, address, batch) {
				return
			}
		}

		time.Sleep(clientRetryPause)
	}
}

// sendTo sends a batch to one replica and reports whether it returned the results.
func (q *commandQueue) sendTo(ctx context.Context, address string, batch []pendingCommand) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	request := &ProposeRequest{Ledger: q.ledger, Commands: make([]Command, len(batch))}
	for i := range batch {
		request.Commands[i] = batch[i].command
	}

	reply, err := wire.Call[ProposeRequest, ProposeReply](ctx, q.client.wire, address, MethodPropose, request)
	if err != nil || len(reply.Results) != len(batch) {
		return false
	}

	for i := range batch {
		batch[i].reply <- commandOutcome{result: reply.Results[i]}
	}

	return true
}

// withoutCanceled returns the commands whose callers still wait for a result.
func withoutCanceled(batch []pendingCommand) []pendingCommand {
	var remaining []pendingCommand

	for i := range batch {
		if batch[i].ctx.Err() == nil {
			remaining = append(remaining, batch[i])
		}
	}

	return remaining
}
