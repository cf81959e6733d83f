package core

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestLongOutageIsToldAtOnce expects a call to end long before its limit when no
// leader has been heard for longer than a change of leaders takes.
func TestLongOutageIsToldAtOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()

	link := NewLink(wire.NewClient(), []string{"127.0.0.1:1"}, "")
	link.heard = time.Now().Add(-time.Minute)

	_, doubtful, err := CallLeader[SetupRequest, SetupReply](ctx, link, MethodSetup,
		func(uint64) *SetupRequest { return &SetupRequest{} })
	assert.ErrorIs(t, err, mill.ErrUnavailable)
	assert.Assert(t, !doubtful, "nothing was sent to a leader")
	assert.NilError(t, ctx.Err())
}
