package core

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// TestFollowerAnnouncesNewLeader guards against entries that learn of a new leader only once a suspended one has been silent
// for a whole attempt: another core process says so, and the call that waits goes to the new leader.
func TestFollowerAnnouncesNewLeader(t *testing.T) {
	received := make(chan struct{}, 1)

	var follower string

	next := serveTest(t, func(server *wire.Server, address string) {
		wire.Handle(server, MethodContact, func(context.Context, *ContactRequest) (*ContactReply, error) {
			return &ContactReply{Leader: address, Term: 2}, nil
		})
		wire.Handle(server, MethodState, func(context.Context, *JobRequest) (*StateReply, error) {
			return &StateReply{State: "done"}, nil
		})
	})
	suspended := serveTest(t, func(server *wire.Server, address string) {
		wire.Handle(server, MethodContact, func(ctx context.Context, request *ContactRequest) (*ContactReply, error) {
			if request.WaitMilli > 0 {
				<-ctx.Done()
			}

			return &ContactReply{Leader: address, Term: 1, Members: []string{follower}}, nil
		})
		wire.Handle(server, MethodState, func(ctx context.Context, _ *JobRequest) (*StateReply, error) {
			received <- struct{}{}

			<-ctx.Done()

			return nil, ctx.Err()
		})
	})
	follower = serveTest(t, func(server *wire.Server, _ string) {
		wire.Handle(server, MethodContact, func(ctx context.Context, request *ContactRequest) (*ContactReply, error) {
			if request.Term == 0 {
				return &ContactReply{Leader: suspended, Term: 1}, nil
			}

			select {
			case <-received:
				return &ContactReply{Leader: next, Term: 2}, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		})
	})

	client, scope := runTestClient(t, suspended)

	reply, ambiguous, err := CallLeader[JobRequest, StateReply](t.Context(), client, MethodState,
		func(uint64) *JobRequest { return &JobRequest{} })
	assert.NilError(t, err)
	assert.Equal(t, string(reply.State), "done")
	assert.Assert(t, ambiguous, "the suspended leader may have received the call")
	assert.Equal(t, scope.Snapshot().Counters()["contacts+result=silent"].Value(), int64(0),
		"the new leader became known by a time limit")
}
