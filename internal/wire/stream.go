package wire

import (
	"context"
	"errors"
	"io"

	"storj.io/drpc"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Stream sends requests to one peer in order over a dedicated connection and
// receives a response to each.
type Stream[Request, Response any] struct {
	conn   drpc.Conn
	stream drpc.Stream
}

// OpenStream opens a stream to the process at address. The stream ends with the context.
func OpenStream[Request, Response any](
	ctx context.Context, c *Client, address, method string,
) (*Stream[Request, Response], error) {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}

	stream, err := conn.NewStream(ctx, method, codec{})
	if err != nil {
		return nil, errors.Join(merry.Prepend(mill.ErrUnavailable, err.Error(), merry.NoCaptureStack()), conn.Close())
	}

	return &Stream[Request, Response]{conn: conn, stream: stream}, nil
}

// Send sends a request without waiting for the response.
func (s *Stream[Request, Response]) Send(request *Request) error {
	return s.stream.MsgSend(request, codec{})
}

// SendEncoded sends a request that Encode has encoded, without waiting for the response.
func (s *Stream[Request, Response]) SendEncoded(data []byte) error {
	return s.stream.MsgSend(encoded(data), codec{})
}

// Receive waits for the response to the oldest unanswered request.
func (s *Stream[Request, Response]) Receive() (*Response, error) {
	var response Response

	if err := s.stream.MsgRecv(&response, codec{}); err != nil {
		return nil, err
	}

	return &response, nil
}

// Close closes the connection. Requests already sent may or may not have arrived.
func (s *Stream[Request, Response]) Close() error {
	return s.conn.Close()
}

// HandleStream registers the handler of each request of a stream. It must be called before Serve.
func HandleStream[Request, Response any](
	s *Server, method string, handler func(ctx context.Context, request *Request) (*Response, error),
) {
	s.register(method, func(stream drpc.Stream) error {
		for {
			err := handleOne(stream, handler)
			if errors.Is(err, io.EOF) {
				return nil
			}

			if err != nil {
				return err
			}
		}
	})
}

func handleOne[Request, Response any](
	stream drpc.Stream, handler func(ctx context.Context, request *Request) (*Response, error),
) error {
	var request Request

	if err := stream.MsgRecv(&request, codec{}); err != nil {
		return err
	}

	response, err := handler(stream.Context(), &request)
	if err != nil {
		return withCode(err)
	}

	return stream.MsgSend(response, codec{})
}
