package core

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// serveTest serves the methods that register adds until the test ends, and returns the address.
func serveTest(t *testing.T, register func(server *wire.Server, address string)) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	address := listener.Addr().String()
	server := &wire.Server{}
	register(server, address)

	done := make(chan error, 1)

	go func() { done <- server.Serve(t.Context(), listener) }()

	t.Cleanup(func() { assert.Check(t, <-done) })

	return address
}

// runTestClient runs a client until the test ends, and waits until the leader has answered it.
func runTestClient(t *testing.T, seeds ...string) (*LeaderClient, tally.TestScope) {
	t.Helper()

	scope := tally.NewTestScope("", nil)
	client := NewLeaderClient(wire.NewClient(), seeds, "advisor")
	client.SetScope(scope)

	done := make(chan error, 1)

	go func() { done <- client.Run(t.Context()) }()

	t.Cleanup(func() { assert.Check(t, <-done) })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		client.mu.Lock()
		defer client.mu.Unlock()

		if !client.confirmed {
			return poll.Continue("the leader has not answered")
		}

		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))

	return client, scope
}

// TestContactWithEarlierBuild guards against a new entry that finds no leader among core processes of the earlier build,
// which know MethodFollow alone and send all of a setup, and against a search that waits for that setup.
func TestContactWithEarlierBuild(t *testing.T) {
	var sent atomic.Int64

	address := serveTest(t, func(server *wire.Server, address string) {
		wire.Handle(server, MethodFollow, func(_ context.Context, request *FollowRequest) (*FollowReply, error) {
			reply := &FollowReply{Leader: address, Term: 3, Members: []string{address}}
			if request.Version < 7 {
				sent.Add(1)

				reply.Setup = &mill.Setup{
					Version: 7, Limits: mill.CallLimits{MaxBodyBytes: 5}, Queues: make([]mill.Queue, 10),
				}
			}

			return reply, nil
		})
	})

	client, _ := runTestClient(t, address)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if client.SetupVersion() != 7 {
			return poll.Continue("version %d", client.SetupVersion())
		}

		return poll.Success()
	})

	limits, ok := client.Limits()
	assert.Assert(t, ok)
	assert.Equal(t, limits.MaxBodyBytes, 5)
	assert.Equal(t, sent.Load(), int64(1), "the setup is sent once")

	leader, term := client.currentLeader()
	assert.Equal(t, leader, address)
	assert.Equal(t, term, uint64(3))
}

// TestFollowAnswersWithoutQueues guards against replies to entries of the earlier build that grow with the setup: those
// have lost the leader over narrow links.
func TestFollowAnswersWithoutQueues(t *testing.T) {
	c, err := New(Config{VM: "vm", Address: "127.0.0.1:1", Folder: t.TempDir()})
	assert.NilError(t, err)

	setup := &mill.Setup{Version: 4, Limits: mill.CallLimits{MaxBodyBytes: 9}, Document: make([]byte, 1000)}
	setup.Queues = slices.Repeat([]mill.Queue{{Name: "q"}}, 10)
	assert.NilError(t, c.stateMachine.Load(encodeState(t, setup)))

	reply, err := c.follow(t.Context(), &FollowRequest{Version: 3})
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Setup, &mill.Setup{Version: 4, Limits: setup.Limits})

	reply, err = c.follow(t.Context(), &FollowRequest{Version: 4})
	assert.NilError(t, err)
	assert.Assert(t, reply.Setup == nil)
}

// TestUnansweredCallKeepsLeaderInContact guards against calls that take the leader from all others: one that is too slow,
// such as a large one on a narrow link, says nothing about a process that answers its contacts meanwhile.
func TestUnansweredCallKeepsLeaderInContact(t *testing.T) {
	address := serveTest(t, func(server *wire.Server, address string) {
		wire.Handle(server, MethodContact, func(context.Context, *ContactRequest) (*ContactReply, error) {
			time.Sleep(10 * time.Millisecond)

			return &ContactReply{Leader: address, Term: 1}, nil
		})
		wire.Handle(server, MethodState, func(ctx context.Context, _ *JobRequest) (*StateReply, error) {
			<-ctx.Done()

			return nil, ctx.Err()
		})
	})

	client, scope := runTestClient(t, address)
	limit, cancel := context.WithTimeout(t.Context(), 2*attemptTimeout)

	defer cancel()

	_, ambiguous, err := CallLeader[JobRequest, StateReply](limit, client, MethodState,
		func(uint64) *JobRequest { return &JobRequest{} })
	assert.ErrorIs(t, err, mill.ErrUnavailable)
	assert.Assert(t, ambiguous)

	client.mu.Lock()
	defer client.mu.Unlock()

	assert.Assert(t, client.lostAt.IsZero(), "the leader was lost")
	assert.Equal(t, client.leader, address)
	assert.Assert(t, scope.Snapshot().Counters()["contacts+result=answered"].Value() > 1)
}

// TestCallsWithoutLeader checks in a long outage that a read is refused before its deadline, and that a cancellation is not
// given up before it: entries that did so left canceled tasks running.
func TestCallsWithoutLeader(t *testing.T) {
	client := NewLeaderClient(wire.NewClient(), []string{"127.0.0.1:1"}, "")
	client.lastContact = time.Now().Add(-time.Minute)

	for method, waits := range map[string]bool{MethodState: false, MethodPending: false, MethodCancel: true} {
		limit, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, _, err := CallLeader[JobRequest, StateReply](limit, client, method,
			func(uint64) *JobRequest { return &JobRequest{} })

		assert.ErrorIs(t, err, mill.ErrUnavailable)
		assert.Equal(t, limit.Err() != nil, waits, method)
		cancel()
	}
}

// TestSetupCallsWithEarlierBuild guards against a large setup that a leader of the earlier build does not get, or that is
// not read from it, because this build compresses it.
func TestSetupCallsWithEarlierBuild(t *testing.T) {
	want := &mill.Setup{Version: 5, Document: make([]byte, wire.PackBytes)}
	got := make(chan *mill.Setup, 1)

	address := serveTest(t, func(server *wire.Server, address string) {
		wire.Handle(server, MethodFollow, func(context.Context, *FollowRequest) (*FollowReply, error) {
			return &FollowReply{Leader: address, Term: 1}, nil
		})
		wire.Handle(server, MethodConfigure, func(_ context.Context, setup *mill.Setup) (*ConfigureReply, error) {
			got <- setup

			return &ConfigureReply{}, nil
		})
		wire.Handle(server, MethodSetup, func(context.Context, *struct{}) (*struct{ Setup *mill.Setup }, error) {
			return &struct{ Setup *mill.Setup }{Setup: want}, nil
		})
	})

	client, _ := runTestClient(t, address)
	c := &Core{leaderClient: client}

	assert.NilError(t, c.Configure(t.Context(), want))
	assert.DeepEqual(t, <-got, want)

	read, err := c.CurrentSetup(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, read, want)
}
