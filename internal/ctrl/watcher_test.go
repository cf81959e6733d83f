package ctrl

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// TestAwaitVersion expects AwaitVersion to block until the version is received, and not to block after
// its context has ended.
func TestAwaitVersion(t *testing.T) {
	w := NewWatcher(nil, nil)
	seen := make(chan bool, 1)

	go func() { seen <- w.AwaitVersion(context.Background(), 2) }()

	w.publish(&View{Revision: 1, Version: 1})
	assert.Equal(t, len(seen), 0)

	w.publish(&View{Revision: 2, Version: 2})
	assert.Assert(t, <-seen)

	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, !w.AwaitVersion(ended, 3))
}

// startVoter serves the status of a voter on loopback until the test ends, and returns its address.
func startVoter(t *testing.T, status *StatusReply) string {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	server := &wire.Server{}
	wire.Handle(server, MethodStatus, func(context.Context, *StatusRequest) (*StatusReply, error) { return status, nil })

	go func() { _ = server.Serve(ctx, listener) }()

	return listener.Addr().String()
}

// TestCatchUp expects CatchUp to wait for the revision of the leader, and not to accept that of a voter
// that lags behind: right after a planned stop, the view may still name the server that has left.
func TestCatchUp(t *testing.T) {
	follower := startVoter(t, &StatusReply{VM: "a", Revision: 1})
	leader := startVoter(t, &StatusReply{VM: "b", Revision: 2, Current: true})
	w := NewWatcher(wire.NewClient(), []string{follower, leader})
	w.publish(&View{Revision: 1})

	brief, cancelBrief := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancelBrief()

	voters, confirmed := w.CatchUp(brief)
	assert.Equal(t, len(voters), 2)
	assert.Assert(t, !confirmed)

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	go w.publish(&View{Revision: 2})

	_, confirmed = w.CatchUp(ctx)
	assert.Assert(t, confirmed)
}

// TestCatchUpWithoutLeader expects CatchUp not to confirm a view while no voter leads.
func TestCatchUpWithoutLeader(t *testing.T) {
	w := NewWatcher(wire.NewClient(), []string{startVoter(t, &StatusReply{VM: "a", Revision: 1})})
	w.publish(&View{Revision: 1})

	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()

	voters, confirmed := w.CatchUp(ctx)
	assert.Equal(t, len(voters), 1)
	assert.Assert(t, !confirmed)
}
