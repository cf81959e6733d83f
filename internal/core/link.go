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
	// attemptTime bounds one attempt of a call: a commit between regions with a slow
	// disk fits, and a caller's usual limit holds several.
	attemptTime = 800 * time.Millisecond
	// searchPause is the pause before another process is asked who leads.
	searchPause = 40 * time.Millisecond
	// followWait is how long a process holds back its answer to a follower.
	followWait = 500 * time.Millisecond
)

// Link finds the leader of the core and calls it; it follows the setup. It is
// used by every process that is not, or may not be, the leader.
type Link struct {
	client  *wire.Client
	seeds   []string
	advisor string
	mu      sync.Mutex
	leader  string
	term    uint64
	members []string
	setup   *mill.Setup
	heard   time.Time
	turn    int
}

// NewLink returns a link that begins at the seeds' addresses; advisor is the
// address at which this process asks the advisor for others, or "".
func NewLink(client *wire.Client, seeds []string, advisor string) *Link {
	return &Link{client: client, seeds: seeds, advisor: advisor, heard: time.Now()}
}

// SetSeeds replaces the addresses to begin at.
func (l *Link) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.seeds = slices.Clone(seeds)
}

// Run follows the setup and the leader until the context ends.
func (l *Link) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.follow(ctx); err != nil {
			drive.Pause(ctx, searchPause)
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

// Heard returns when the leader was heard last, or when the link was made.
func (l *Link) Heard() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.heard
}

// outage returns for how long no leader has been heard.
func (l *Link) outage() time.Duration {
	return time.Since(l.Heard())
}

func (l *Link) follow(ctx context.Context) error {
	address, _ := l.target()

	limit, cancel := context.WithTimeout(ctx, followWait+attemptTime)
	defer cancel()

	reply, err := wire.Call[FollowRequest, FollowReply](limit, l.client, address, MethodFollow, &FollowRequest{
		Version:   l.version(),
		Advisor:   l.advisor,
		UnixMilli: time.Now().UnixMilli(),
		WaitMilli: followWait.Milliseconds(),
	})
	if err != nil {
		l.lost(address)

		return err
	}

	l.learn(address, reply)

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

func (l *Link) learn(from string, reply *FollowReply) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if reply.Setup != nil && (l.setup == nil || reply.Setup.Version > l.setup.Version) {
		l.setup = reply.Setup
	}

	if len(reply.Members) > 0 {
		l.members = reply.Members
	}

	if reply.Leader == "" {
		l.forget(from)

		return
	}

	if reply.Term >= l.term {
		l.leader, l.term = reply.Leader, reply.Term
	}

	if from == reply.Leader {
		l.heard = time.Now()
	}
}

// target returns the leader's address and term, or some process's and 0.
func (l *Link) target() (string, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.leader != "" {
		return l.leader, l.term
	}

	known := l.known()
	if len(known) == 0 {
		return "", 0
	}

	l.turn++

	return known[l.turn%len(known)], 0
}

// addresses returns the processes of the core that this one has heard of.
func (l *Link) addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.known()
}

func (l *Link) known() []string {
	return append(slices.Clone(l.members), l.seeds...)
}

// lost takes note that the process at the address did not serve a call.
func (l *Link) lost(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.forget(address)
}

func (l *Link) forget(address string) {
	if l.leader == address {
		l.leader = ""
	}
}

// CallLeader calls the leader until it answers or the context ends. The request
// is made anew for each attempt from the leader's term. It reports whether an
// attempt may have been received without an answer.
func CallLeader[Request, Response any](
	ctx context.Context, l *Link, method string, request func(term uint64) *Request,
) (response *Response, doubtful bool, err error) {
	for {
		address, term := l.target()

		if term > 0 {
			response, err = callOnce[Request, Response](ctx, l, address, method, request(term))
			if err == nil || final(err) {
				return response, doubtful, err
			}

			l.lost(address)

			doubtful = doubtful || !harmless(err)
		}

		if err = l.givenUp(ctx, doubtful); err != nil {
			return nil, doubtful, err
		}

		if term > 0 {
			continue
		}

		if err = l.search(ctx, address); err != nil {
			drive.Pause(ctx, searchPause)
		}
	}
}

// givenUp returns why a call should not be tried again, or nil. One that a leader may
// have received is tried until its limit, since its outcome is open.
func (l *Link) givenUp(ctx context.Context, doubtful bool) error {
	switch {
	case ctx.Err() != nil:
		return merry.Prepend(mill.ErrUnavailable, "no leader answered in time", merry.NoCaptureStack())
	case !doubtful && !plan.ShouldWaitForLeader(l.outage()):
		return merry.Prepend(mill.ErrUnavailable, "there is no leader", merry.NoCaptureStack())
	default:
		return nil
	}
}

// search asks a process who leads.
func (l *Link) search(ctx context.Context, address string) error {
	limit, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()

	reply, err := wire.Call[FollowRequest, FollowReply](limit, l.client, address, MethodFollow,
		&FollowRequest{Version: l.version()})
	if err != nil {
		return err
	}

	l.learn(address, reply)

	if reply.Leader == "" {
		return merry.Prepend(mill.ErrUnavailable, "no leader is known", merry.NoCaptureStack())
	}

	return nil
}

func callOnce[Request, Response any](
	ctx context.Context, l *Link, address, method string, request *Request,
) (*Response, error) {
	limit, cancel := context.WithTimeout(ctx, attemptTime)
	defer cancel()

	return wire.Call[Request, Response](limit, l.client, address, method, request)
}

// final reports whether the leader has answered, if only with an error.
func final(err error) bool {
	return errors.Is(err, mill.ErrInvalid) || errors.Is(err, mill.ErrNotFound) || errors.Is(err, mill.ErrNoQueue) ||
		errors.Is(err, mill.ErrConflict)
}

// harmless reports whether the call has certainly not been carried out.
func harmless(err error) bool {
	return errors.Is(err, mill.ErrUnreachable) || errors.Is(err, mill.ErrNotPrimary) || errors.Is(err, mill.ErrFull)
}
