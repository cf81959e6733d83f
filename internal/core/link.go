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
	// longPollTimeout is how long a process holds back its reply to a FollowRequest.
	longPollTimeout = 500 * time.Millisecond
)

// Link finds and calls the leader of the core, and keeps the newest setup. It is used by
// every process that is not, or may not be, the leader.
type Link struct {
	client         *wire.Client
	seeds          []string
	advisorAddress string
	mu             sync.Mutex
	leader         string
	term           uint64
	members        []string
	setup          *mill.Setup
	lastContact    time.Time
	nextCandidate  int
}

// NewLink returns a link that starts from the seeds' addresses. advisor is the address
// at which this process asks the advisor on behalf of others, or "".
func NewLink(client *wire.Client, seeds []string, advisor string) *Link {
	return &Link{client: client, seeds: seeds, advisorAddress: advisor, lastContact: time.Now()}
}

// SetSeeds replaces the addresses to start from.
func (l *Link) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.seeds = slices.Clone(seeds)
}

// Run follows the setup and the leader until the context ends.
func (l *Link) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.follow(ctx); err != nil {
			drive.Pause(ctx, retryInterval)
		}
	}

	return nil
}

// Setup returns the newest setup that this process has seen, or nil.
func (l *Link) Setup() *mill.Setup {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.setup
}

// Heard returns the time of the leader's last reply, or of the link's creation.
func (l *Link) Heard() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.lastContact
}

// outage returns the time since the leader's last reply.
func (l *Link) outage() time.Duration {
	return time.Since(l.Heard())
}

func (l *Link) follow(ctx context.Context) error {
	address, _ := l.target()

	limit, cancel := context.WithTimeout(ctx, longPollTimeout+attemptTimeout)
	defer cancel()

	reply, err := wire.Call[FollowRequest, FollowReply](limit, l.client, address, MethodFollow, &FollowRequest{
		Version:   l.version(),
		Advisor:   l.advisorAddress,
		UnixMilli: time.Now().UnixMilli(),
		WaitMilli: longPollTimeout.Milliseconds(),
	})
	if err != nil {
		l.recordFailure(address)

		return err
	}

	l.update(address, reply)

	if reply.Leader == "" {
		return merry.Prepend(mill.ErrUnavailable, "no leader is known", merry.NoCaptureStack())
	}

	return nil
}

func (l *Link) version() uint64 {
	if setup := l.Setup(); setup != nil {
		return setup.Version
	}

	return 0
}

func (l *Link) update(from string, reply *FollowReply) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if reply.Setup != nil && (l.setup == nil || reply.Setup.Version > l.setup.Version) {
		l.setup = reply.Setup
	}

	if len(reply.Members) > 0 {
		l.members = reply.Members
	}

	if reply.Leader == "" {
		l.clearLeader(from)

		return
	}

	if reply.Term >= l.term {
		l.leader, l.term = reply.Leader, reply.Term
	}

	if from == reply.Leader {
		l.lastContact = time.Now()
	}
}

// target returns the leader's address and term, or the next candidate's address and 0
// while no leader is known.
func (l *Link) target() (string, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.leader != "" {
		return l.leader, l.term
	}

	candidates := l.candidates()
	if len(candidates) == 0 {
		return "", 0
	}

	l.nextCandidate++

	return candidates[l.nextCandidate%len(candidates)], 0
}

// addresses returns the addresses of all core processes known here.
func (l *Link) addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.candidates()
}

func (l *Link) candidates() []string {
	return append(slices.Clone(l.members), l.seeds...)
}

// recordFailure records that the process at the address did not serve a call.
func (l *Link) recordFailure(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.clearLeader(address)
}

func (l *Link) clearLeader(address string) {
	if l.leader == address {
		l.leader = ""
	}
}

// CallLeader calls the leader until it answers or the context ends. The request is
// built for each attempt from the leader's term. The second result reports whether an
// unanswered attempt may have reached a leader.
func CallLeader[Request, Response any](
	ctx context.Context, l *Link, method string, request func(term uint64) *Request,
) (response *Response, ambiguous bool, err error) {
	for {
		address, term := l.target()

		if term > 0 {
			response, err = callOnce[Request, Response](ctx, l, address, method, request(term))
			if err == nil || isDefinitive(err) {
				return response, ambiguous, err
			}

			l.recordFailure(address)

			ambiguous = ambiguous || !isNotExecuted(err)
		}

		if err = l.checkRetry(ctx, ambiguous); err != nil {
			return nil, ambiguous, err
		}

		if term > 0 {
			continue
		}

		if err = l.findLeader(ctx, address); err != nil {
			drive.Pause(ctx, retryInterval)
		}
	}
}

// checkRetry returns why a call should not be retried, or nil. A call that may have reached a
// leader is retried until its deadline, since its outcome is unknown.
func (l *Link) checkRetry(ctx context.Context, ambiguous bool) error {
	switch {
	case ctx.Err() != nil:
		return merry.Prepend(mill.ErrUnavailable, "no leader answered before the deadline", merry.NoCaptureStack())
	case !ambiguous && !plan.WaitForLeader(l.outage()):
		return merry.Prepend(mill.ErrUnavailable, "no leader has answered for too long", merry.NoCaptureStack())
	default:
		return nil
	}
}

// findLeader asks a process for the leader.
func (l *Link) findLeader(ctx context.Context, address string) error {
	limit, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()

	reply, err := wire.Call[FollowRequest, FollowReply](limit, l.client, address, MethodFollow,
		&FollowRequest{Version: l.version()})
	if err != nil {
		return err
	}

	l.update(address, reply)

	if reply.Leader == "" {
		return merry.Prepend(mill.ErrUnavailable, "no leader is known", merry.NoCaptureStack())
	}

	return nil
}

func callOnce[Request, Response any](
	ctx context.Context, l *Link, address, method string, request *Request,
) (*Response, error) {
	limit, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()

	return wire.Call[Request, Response](limit, l.client, address, method, request)
}

// isDefinitive reports whether the error is the leader's answer to the call.
func isDefinitive(err error) bool {
	return errors.Is(err, mill.ErrInvalid) || errors.Is(err, mill.ErrNotFound) || errors.Is(err, mill.ErrNoQueue) ||
		errors.Is(err, mill.ErrConflict)
}

// isNotExecuted reports whether the call has certainly not been executed.
func isNotExecuted(err error) bool {
	return errors.Is(err, mill.ErrUnreachable) || errors.Is(err, mill.ErrNotPrimary) || errors.Is(err, mill.ErrFull)
}
