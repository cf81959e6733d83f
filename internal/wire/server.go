package wire

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// MaxMessageSize is the maximum size of one message in bytes.
const MaxMessageSize = 64 << 20

// Server answers calls from other processes. Its zero value has no methods.
type Server struct {
	methods map[string]func(stream drpc.Stream) error
}

// Handle registers the handler of a method. It must be called before Serve.
func Handle[Request, Response any](
	s *Server, method string, handler func(ctx context.Context, request *Request) (*Response, error),
) {
	s.register(method, func(stream drpc.Stream) error { return handleOne(stream, handler) })
}

func (s *Server) register(method string, handler func(stream drpc.Stream) error) {
	if s.methods == nil {
		s.methods = make(map[string]func(stream drpc.Stream) error)
	}

	s.methods[method] = handler
}

// HandleRPC answers one call. If the handler panics, the call fails with mill.ErrUnavailable, since it may have been
// carried out, and the process goes on.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			log.Error().Str("method", rpc).Str("cause", fmt.Sprint(cause)).Str("stack", string(debug.Stack())).
				Msg("call handler panicked")

			err = withCode(merry.Prependf(mill.ErrUnavailable, "method %q failed unexpectedly", rpc))
		}
	}()

	method, ok := s.methods[rpc]
	if !ok {
		return withCode(merry.Prependf(mill.ErrNotFound, "method %q", rpc))
	}

	return method(stream)
}

// Serve answers calls on the listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: managerOptions()})

	return server.Serve(ctx, listener)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageSize},
	}
}
