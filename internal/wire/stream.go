package wire

import (
	"context"
	"errors"
	"io"

	"storj.io/drpc"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Stream carries requests to one peer in order, and a response to each, over a
// connection of its own.
type Stream[Request, Response any] struct {
	conn   drpc.Conn
	stream drpc.Stream
}

// OpenStream opens a stream to the process at address; the context ends it.
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

// Receive waits for the response to the oldest request that has none yet.
func (s *Stream[Request, Response]) Receive() (*Response, error) {
	var response Response

	if err := s.stream.MsgRecv(&response, codec{}); err != nil {
		return nil, err
	}

	return &response, nil
}

// Close closes the connection; what was sent may or may not have arrived.
func (s *Stream[Request, Response]) Close() error {
	return s.conn.Close()
}

// HandleStream registers the function that answers each request of a stream; it must precede Serve.
func HandleStream[Request, Response any](
	s *Server, method string, answer func(ctx context.Context, request *Request) (*Response, error),
) {
	s.register(method, func(stream drpc.Stream) error {
		for {
			err := answerOne(stream, answer)
			if errors.Is(err, io.EOF) {
				return nil
			}

			if err != nil {
				return err
			}
		}
	})
}

func answerOne[Request, Response any](
	stream drpc.Stream, answer func(ctx context.Context, request *Request) (*Response, error),
) error {
	var request Request

	if err := stream.MsgRecv(&request, codec{}); err != nil {
		return err
	}

	response, err := answer(stream.Context(), &request)
	if err != nil {
		return withCode(err)
	}

	return stream.MsgSend(response, codec{})
}
