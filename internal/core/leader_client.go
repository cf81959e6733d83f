package core

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// attemptTimeout bounds one attempt of a call: long enough for a commit between regions
	// on a slow disk, and short enough for several attempts within a caller's usual time limit.
	attemptTimeout = 800 * time.Millisecond
	// retryInterval is the pause before the leader is called again, or another process is asked for it.
	retryInterval = 40 * time.Millisecond
	// minLinkRate is the rate in bytes per second that is expected of any link: 1.5 Mbit/s.
	minLinkRate = 1_500_000 / 8
)

// LeaderClient finds and calls the leader of the core, and stays in contact with it while Run runs. It is used by every
// process that is not, or may not be, the leader.
type LeaderClient struct {
	client         *wire.Client
	advisorAddress string
	relayFor       string
	metrics        contactMetrics

	mu    sync.Mutex
	seeds []string
	// leader is the leader's address, "" while none is known, and term its term.
	leader string
	term   uint64
	// confirmed says that the leader has answered since it became known here.
	confirmed    bool
	members      []string
	hasSetup     bool
	setupVersion uint64
	limits       mill.CallLimits
	lastContact  time.Time
	// lostAt is when contact with the leader was lost, or zero while there is contact.
	lostAt time.Time
	// endContact ends the contact that waits for the leader's reply.
	endContact context.CancelFunc
	// calls holds the calls to the leader that wait for its reply.
	calls leaderCalls
	// earlierBuild holds until when processes are asked by MethodFollow.
	earlierBuild map[string]time.Time
	nextAddress  int
}

// NewLeaderClient returns a client that starts from the seeds' addresses. advisor is the
// address at which this process asks the advisor on behalf of others, or "".
func NewLeaderClient(client *wire.Client, seeds []string, advisor string) *LeaderClient {
	now := time.Now()

	return &LeaderClient{
		client: client, seeds: seeds, advisorAddress: advisor, metrics: newContactMetrics(nil),
		lastContact: now, lostAt: now, endContact: func() {}, earlierBuild: make(map[string]time.Time),
	}
}

// SetScope has the client count its contacts in the scope. It must be called before Run.
func (c *LeaderClient) SetScope(scope tally.Scope) {
	c.metrics = newContactMetrics(scope)
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

// Limits returns the limits of callers' requests, or false while no setup is known.
func (c *LeaderClient) Limits() (mill.CallLimits, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.limits, c.hasSetup
}

// SetupVersion returns the version of the newest setup that this process knows of, or 0.
func (c *LeaderClient) SetupVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.setupVersion
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

// currentLeader returns the leader's address, "" while none is known, and its term.
func (c *LeaderClient) currentLeader() (string, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.leader, c.term
}

// addresses returns the addresses of all core processes known here.
func (c *LeaderClient) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.knownAddresses()
}

func (c *LeaderClient) knownAddresses() []string {
	addresses := slices.Clone(c.members)

	for _, seed := range c.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}

	return addresses
}

// callKinds holds the kinds of calls that are not changes.
var callKinds = map[string]plan.CallKind{
	MethodState:     plan.CallRead,
	MethodPending:   plan.CallRead,
	MethodSetup:     plan.CallRead,
	MethodWaveState: plan.CallRead,
	MethodCancel:    plan.CallCancel,
}

// CallLeader calls the leader until it answers, the context ends or the kind of the call does not allow another attempt.
// The request is built for each attempt from the leader's term. The second result reports whether an unanswered attempt may
// have reached a leader. The client must run, since it finds the leader.
func CallLeader[Request, Response any](
	ctx context.Context, c *LeaderClient, method string, request func(term uint64) *Request,
) (response *Response, ambiguous bool, err error) {
	for {
		if leader, term := c.currentLeader(); leader != "" {
			response, err = callOnce[Request, Response](ctx, c, leader, method, request(term))
			if err == nil || isDefinitive(err) {
				return response, ambiguous, err
			}

			ambiguous = ambiguous || !isNotExecuted(err)
		}

		if err = c.checkRetry(ctx, callKinds[method], ambiguous); err != nil {
			return nil, ambiguous, err
		}

		drive.Pause(ctx, retryInterval)
	}
}

// checkRetry returns why a call should not be retried, or nil.
func (c *LeaderClient) checkRetry(ctx context.Context, kind plan.CallKind, ambiguous bool) error {
	switch {
	case ctx.Err() != nil:
		return merry.Prepend(mill.ErrUnavailable, "no leader answered before the deadline", merry.NoCaptureStack())
	case !kind.ShouldRetry(c.outage(), ambiguous):
		return merry.Prepend(mill.ErrUnavailable, "no leader has answered for too long", merry.NoCaptureStack())
	default:
		return nil
	}
}

// callOnce makes one attempt of a call, and records what it says about the leader.
func callOnce[Request, Response any](
	ctx context.Context, c *LeaderClient, leader, method string, request *Request,
) (*Response, error) {
	limit, cancel := context.WithTimeout(ctx, attemptTimeout+transferTime(request))
	defer cancel()

	stop := c.abandonWithLeader(leader, cancel)
	defer stop()

	start := time.Now()
	response, err := wire.Call[Request, Response](limit, c.client, leader, method, request)

	if err == nil || isDefinitive(err) {
		c.mu.Lock()
		c.recordReply(leader)
		c.mu.Unlock()
	} else if c.recordCallFailure(leader, start, err) {
		// The leader is in contact but does not answer the call: a majority may have another one that it has not heard of.
		go func() { _ = c.ask(context.WithoutCancel(ctx), c.nextProcess(), 0, 0) }()
	}

	return response, err
}

// transferTime returns how long a request takes on a narrow link, in addition to the time for an attempt. Submissions are
// the only calls of callers that may be large: they hold a body of up to the limit in the setup.
func transferTime(request any) time.Duration {
	if submission, ok := request.(*SubmitRequest); ok {
		return time.Duration(len(submission.Work.Spec)) * time.Second / minLinkRate
	}

	return 0
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
