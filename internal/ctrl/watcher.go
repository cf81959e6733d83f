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
	watchTime   = 500 * time.Millisecond
	watchMargin = 300 * time.Millisecond
	watchPause  = 100 * time.Millisecond
)

// Watcher follows the control log from a process that is no voter, and keeps
// the newest view that it has seen: it never goes back.
type Watcher struct {
	client    *wire.Client
	addresses []string
	view      atomic.Pointer[View]
	mu        sync.Mutex
	changed   chan struct{}
}

// NewWatcher returns a watcher of the voters at the addresses, the nearest first.
func NewWatcher(client *wire.Client, addresses []string) *Watcher {
	w := &Watcher{client: client, addresses: addresses, changed: make(chan struct{})}
	w.view.Store(&View{})

	return w
}

// Run follows the control log until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	for at := 0; ctx.Err() == nil; {
		if w.follow(ctx, w.addresses[at%len(w.addresses)]) {
			continue
		}

		at++

		drive.Pause(ctx, watchPause)
	}

	return nil
}

// View returns the newest view seen.
func (w *Watcher) View() *View {
	return w.view.Load()
}

// Changed returns a channel that is closed when a newer view is seen.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.changed
}

// AwaitVersion waits until a view of the version or a later one is seen, or the
// context ends, and reports which it was.
func (w *Watcher) AwaitVersion(ctx context.Context, version uint64) bool {
	for {
		changed := w.Changed()

		if w.View().Version >= version {
			return true
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Propose commits a command through the first voter that can.
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

		drive.Pause(ctx, watchPause)
	}

	return nil, last
}

// Audit returns up to limit records of the trail after a number.
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

// Status returns what each voter that answers says of the control log.
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
	ctx, cancel := context.WithTimeout(ctx, proposeTime+watchMargin)
	defer cancel()

	return wire.Call[ProposeRequest, Verdict](
		ctx, w.client, address, MethodPropose, &ProposeRequest{Command: *command})
}

// follow asks one voter for a newer view and reports whether to stay with it.
func (w *Watcher) follow(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, watchTime+watchMargin)
	defer cancel()

	request := &WatchRequest{Revision: w.view.Load().Revision, WaitMilli: watchTime.Milliseconds()}

	reply, err := wire.Call[WatchRequest, WatchReply](ctx, w.client, address, MethodWatch, request)
	if err != nil {
		return false
	}

	w.take(reply.View)

	return !reply.Leaderless
}

// take publishes a view unless it is older than the one known: a server that
// is behind must not bring back what was replaced.
func (w *Watcher) take(view *View) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if view == nil || view.Revision <= w.view.Load().Revision {
		return
	}

	w.view.Store(view)
	close(w.changed)
	w.changed = make(chan struct{})
}
