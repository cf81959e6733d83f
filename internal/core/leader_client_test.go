package core

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestLongOutageFailsFast checks that a call fails long before its deadline if no leader has
// answered for longer than an election takes.
func TestLongOutageFailsFast(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()

	client := NewLeaderClient(wire.NewClient(), []string{"127.0.0.1:1"}, "")
	client.lastContact = time.Now().Add(-time.Minute)

	_, ambiguous, err := CallLeader[SetupRequest, SetupReply](ctx, client, MethodSetup,
		func(uint64) *SetupRequest { return &SetupRequest{} })
	assert.ErrorIs(t, err, mill.ErrUnavailable)
	assert.Assert(t, !ambiguous, "nothing was sent to a leader")
	assert.NilError(t, ctx.Err())
}
