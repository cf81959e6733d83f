package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

type testMessage struct {
	Panic bool
}

// TestPanickingHandler expects a call whose handler panics to fail with an unknown outcome, and the next call, on
// the same process, to be answered.
func TestPanickingHandler(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	server := &Server{}
	Handle(server, "test", func(_ context.Context, request *testMessage) (*testMessage, error) {
		if request.Panic {
			panic("test")
		}

		return request, nil
	})

	go func() { _ = server.Serve(ctx, listener) }()

	client := NewClient()

	_, err = Call[testMessage, testMessage](ctx, client, listener.Addr().String(), "test", &testMessage{Panic: true})
	assert.Assert(t, errors.Is(err, mill.ErrUnavailable), "%v", err)

	_, err = Call[testMessage, testMessage](ctx, client, listener.Addr().String(), "test", &testMessage{})
	assert.NilError(t, err)
}
