package core

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// attemptTimeout bounds one attempt of a call: long enough for a commit between regions
	// on a slow disk, and short enough for several attempts within a caller's usual time limit.
	attemptTimeout = 800 * time.Millisecond
	// retryInterval is the pause before another process is asked for the leader.
	retryInterval = 40 * time.Millisecond
	// longPollTimeout is the longest time that the leader holds back its reply to a FollowRequest.
	longPollTimeout = 500 * time.Millisecond
)

// LeaderClient finds and calls the leader of the core, and keeps the newest setup. It is used by
// every process that is not, or may not be, the leader.
type LeaderClient struct {
	client         *wire.Client
	seeds          []string
	advisorAddress string
	relayFor       string
	mu             sync.Mutex
	leader         string
	term           uint64
	members        []string
	setup          *mill.Setup
	lastContact    time.Time
	nextAddress    int
}

// NewLeaderClient returns a client that starts from the seeds' addresses. advisor is the
// address at which this process asks the advisor on behalf of others, or "".
func NewLeaderClient(client *wire.Client, seeds []string, advisor string) *LeaderClient {
	return &LeaderClient{client: client, seeds: seeds, advisorAddress: advisor, lastContact: time.Now()}
}

// OfferRelay has the client offer this process to the leader as a relay for orders to the workers of a data
// centre. It must be called before Run.
func (c *LeaderClient) OfferRelay(dataCentre string) {
	c.relayFor = dataCentre
}

// SetSeeds replaces the addresses to start from.
func (c *LeaderClient) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.seeds = slices.Clone(seeds)
}

// Run follows the setup and the leader until the context ends.
func (c *LeaderClient) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.follow(ctx); err != nil {
			drive.Pause(ctx, retryInterval)
		}
	}

	return nil
}

// Setup returns the newest setup that this process has seen, or nil.
func (c *LeaderClient) Setup() *mill.Setup {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.setup
}

// LastContact returns the time of the leader's last reply, or of the client's creation.
func (c *LeaderClient) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.lastContact
}

// outage returns the time since the leader's last reply.
func (c *LeaderClient) outage() time.Duration {
	return time.Since(c.LastContact())
}

func (c *LeaderClient) follow(ctx context.Context) error {
	address, _ := c.target()

	limit, cancel := context.WithTimeout(ctx, longPollTimeout+attemptTimeout)
	defer cancel()

	reply, err := wire.Call[FollowRequest, FollowReply](limit, c.client, address, MethodFollow, &FollowRequest{
		Version:   c.version(),
		Advisor:   c.advisorAddress,
		RelayFor:  c.relayFor,
		UnixMilli: time.Now().UnixMilli(),
		WaitMilli: longPollTimeout.Milliseconds(),
	})
	if err != nil {
		c.recordFailure(address)

		return err
	}

	c.update(address, reply)

	if reply.Leader == "" {
		return merry.Prepend(mill.ErrUnavailable, "no leader is known", merry.NoCaptureStack())
	}

	return nil
}

func (c *LeaderClient) version() uint64 {
	if setup := c.Setup(); setup != nil {
		return setup.Version
	}

	return 0
}

func (c *LeaderClient) update(from string, reply *FollowReply) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if reply.Setup != nil && (c.setup == nil || reply.Setup.Version > c.setup.Version) {
		c.setup = reply.Setup
	}

	if len(reply.Members) > 0 {
		c.members = reply.Members
	}

	if reply.Leader == "" {
		c.clearLeader(from)

		return
	}

	if reply.Term >= c.term {
		c.leader, c.term = reply.Leader, reply.Term
	}

	if from == reply.Leader {
		c.lastContact = time.Now()
	}
}

// target returns the leader's address and term, or the next known address in turn and 0
// while no leader is known.
func (c *LeaderClient) target() (string, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.leader != "" {
		return c.leader, c.term
	}

	addresses := c.knownAddresses()
	if len(addresses) == 0 {
		return "", 0
	}

	c.nextAddress++

	return addresses[c.nextAddress%len(addresses)], 0
}

// addresses returns the addresses of all core processes known here.
func (c *LeaderClient) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.knownAddresses()
}

func (c *LeaderClient) knownAddresses() []string {
	return append(slices.Clone(c.members), c.seeds...)
}

// recordFailure records that the process at the address did not serve a call.
func (c *LeaderClient) recordFailure(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.clearLeader(address)
}

func (c *LeaderClient) clearLeader(address string) {
	if c.leader == address {
		c.leader = ""
	}
}

// CallLeader calls the leader until it answers or the context ends. The request is
// built for each attempt from the leader's term. The second result reports whether an
// unanswered attempt may have reached a leader.
func CallLeader[Request, Response any](
	ctx context.Context, c *LeaderClient, method string, request func(term uint64) *Request,
) (response *Response, ambiguous bool, err error) {
	for {
		address, term := c.target()

		if term > 0 {
			response, err = callOnce[Request, Response](ctx, c, address, method, request(term))
			if err == nil || isDefinitive(err) {
				return response, ambiguous, err
			}

			c.recordFailure(address)

			ambiguous = ambiguous || !isNotExecuted(err)
		}

		if err = c.checkRetry(ctx, ambiguous); err != nil {
			return nil, ambiguous, err
		}

		if term > 0 {
			continue
		}

		if err = c.findLeader(ctx, address); err != nil {
			drive.Pause(ctx, retryInterval)
		}
	}
}

// checkRetry returns why a call should not be retried, or nil. A call that may have reached a
// leader is retried until its deadline, since its outcome is unknown.
func (c *LeaderClient) checkRetry(ctx context.Context, ambiguous bool) error {
	switch {
	case ctx.Err() != nil:
		return merry.Prepend(mill.ErrUnavailable, "no leader answered before the deadline", merry.NoCaptureStack())
	case !ambiguous && !plan.ShouldWaitForLeader(c.outage()):
		return merry.Prepend(mill.ErrUnavailable, "no leader has answered for too long", merry.NoCaptureStack())
	default:
		return nil
	}
}

// findLeader asks a process for the leader.
func (c *LeaderClient) findLeader(ctx context.Context, address string) error {
	limit, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()

	reply, err := wire.Call[FollowRequest, FollowReply](limit, c.client, address, MethodFollow,
		&FollowRequest{Version: c.version()})
	if err != nil {
		return err
	}

	c.update(address, reply)

	if reply.Leader == "" {
		return merry.Prepend(mill.ErrUnavailable, "no leader is known", merry.NoCaptureStack())
	}

	return nil
}

func callOnce[Request, Response any](
	ctx context.Context, c *LeaderClient, address, method string, request *Request,
) (*Response, error) {
	limit, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()

	return wire.Call[Request, Response](limit, c.client, address, method, request)
}

// isDefinitive reports whether the error is the leader's answer to the call.
func isDefinitive(err error) bool {
	return errors.Is(err, mill.ErrInvalid) || errors.Is(err, mill.ErrNotFound) || errors.Is(err, mill.ErrNoQueue) ||
		errors.Is(err, mill.ErrConflict) || errors.Is(err, mill.ErrUnauthenticated) || errors.Is(err, mill.ErrForbidden)
}

// isNotExecuted reports whether the call has certainly not been executed.
func isNotExecuted(err error) bool {
	return errors.Is(err, mill.ErrUnreachable) || errors.Is(err, mill.ErrNotPrimary) || errors.Is(err, mill.ErrFull)
}
