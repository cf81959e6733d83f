package ctrl

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	watchWait   = 500 * time.Millisecond
	replyMargin = 300 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
)

// Watcher follows the control log by requests to its voters. It keeps the newest view received and
// never returns to an older one.
type Watcher struct {
	client    *wire.Client
	addresses []string
	view      atomic.Pointer[View]
	mu        sync.Mutex
	changed   chan struct{}
}

// NewWatcher returns a watcher of the voters at the addresses, which are tried in this order: the
// nearest should come first.
func NewWatcher(client *wire.Client, addresses []string) *Watcher {
	w := &Watcher{client: client, addresses: addresses, changed: make(chan struct{})}
	w.view.Store(&View{})

	return w
}

// Run follows the control log until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	for at := 0; ctx.Err() == nil; {
		if w.poll(ctx, w.addresses[at%len(w.addresses)]) {
			continue
		}

		at++

		drive.Pause(ctx, retryDelay)
	}

	return nil
}

// View returns the newest view received.
func (w *Watcher) View() *View {
	return w.view.Load()
}

// Changed returns a channel that is closed when a newer view is received.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.changed
}

// AwaitVersion waits for a view of at least the version, and reports whether it was received before
// the context ended.
func (w *Watcher) AwaitVersion(ctx context.Context, version uint64) bool {
	return w.await(ctx, func(view *View) bool { return view.Version >= version })
}

// CatchUp waits for a view that holds all changes that the leader has committed. It returns the status of
// each voter that answers, and whether the view was received before the context ended.
func (w *Watcher) CatchUp(ctx context.Context) ([]StatusReply, bool) {
	for {
		replies := w.Status(ctx)

		for i := range replies {
			if replies[i].Current {
				return replies, w.await(ctx, func(view *View) bool { return view.Revision >= replies[i].Revision })
			}
		}

		// There may be no leader for a moment, for example right after one was stopped.
		drive.Pause(ctx, retryDelay)

		if ctx.Err() != nil {
			return replies, false
		}
	}
}

// await waits for a view that satisfies the condition, and reports whether it was received before the
// context ended.
func (w *Watcher) await(ctx context.Context, satisfies func(view *View) bool) bool {
	for {
		changed := w.Changed()

		if satisfies(w.View()) {
			return true
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Propose commits a command through the first voter that succeeds, and retries until the context ends.
func (w *Watcher) Propose(ctx context.Context, command *Command) (*Verdict, error) {
	last := mill.ErrUnavailable

	for ctx.Err() == nil {
		for _, address := range w.addresses {
			verdict, err := w.proposeAt(ctx, address, command)
			if err == nil {
				return verdict, nil
			}

			last = err
		}

		drive.Pause(ctx, retryDelay)
	}

	return nil, last
}

// Audit returns up to limit audit records with numbers above after.
func (w *Watcher) Audit(ctx context.Context, after uint64, limit int) ([]AuditRecord, error) {
	last := mill.ErrUnavailable

	for _, address := range w.addresses {
		reply, err := wire.Call[AuditRequest, AuditReply](
			ctx, w.client, address, MethodAudit, &AuditRequest{After: after, Limit: limit})
		if err == nil {
			return reply.Records, nil
		}

		last = err
	}

	return nil, last
}

// Status returns the status of each voter that answers.
func (w *Watcher) Status(ctx context.Context) []StatusReply {
	var replies []StatusReply

	for _, address := range w.addresses {
		reply, err := wire.Call[StatusRequest, StatusReply](ctx, w.client, address, MethodStatus, &StatusRequest{})
		if err == nil {
			replies = append(replies, *reply)
		}
	}

	return replies
}

func (w *Watcher) proposeAt(ctx context.Context, address string, command *Command) (*Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout+replyMargin)
	defer cancel()

	return wire.Call[ProposeRequest, Verdict](
		ctx, w.client, address, MethodPropose, &ProposeRequest{Command: *command})
}

// poll requests a newer view from one voter, and reports whether to keep using that voter.
func (w *Watcher) poll(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, watchWait+replyMargin)
	defer cancel()

	request := &WatchRequest{Revision: w.view.Load().Revision, WaitMilli: watchWait.Milliseconds()}

	reply, err := wire.Call[WatchRequest, WatchReply](ctx, w.client, address, MethodWatch, request)
	if err != nil {
		return false
	}

	w.publish(reply.View)

	return !reply.Leaderless
}

// publish publishes a view if it is newer than the current one. A server that lags behind must not
// revert changes.
func (w *Watcher) publish(view *View) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if view == nil || view.Revision <= w.view.Load().Revision {
		return
	}

	w.view.Store(view)
	close(w.changed)
	w.changed = make(chan struct{})
}
