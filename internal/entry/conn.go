package entry

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
)

// The errors of a round trip to an upstream.
var (
	// errNotWritten means that the upstream received no byte of the request.
	errNotWritten = merry.Sentinel("request was not written")
	// errIncompleteResponse means that the request was written, at least in part, but no complete
	// response was received.
	errIncompleteResponse = merry.Sentinel("no complete response")
	// errResponseMismatch means that the response carries the id of another request.
	errResponseMismatch = merry.Sentinel("response belongs to another request")
)

const connectTimeout = time.Second

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}

	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prepend(errNotWritten, err.Error(), merry.NoCaptureStack())
	}

	return &conn{netConn: raw, reader: bufio.NewReader(raw), writer: bufio.NewWriter(raw)}, nil
}

// roundTrip writes a request and reads the response before the deadline. A truncated body is an error.
func (c *conn) roundTrip(x *exchange, response *fasthttp.Response, deadline time.Time) error {
	if err := c.netConn.SetDeadline(deadline); err != nil {
		return merry.Prepend(errNotWritten, err.Error(), merry.NoCaptureStack())
	}

	if err := c.write(x.request); err != nil {
		return merry.Prepend(errIncompleteResponse, err.Error(), merry.NoCaptureStack())
	}

	response.SkipBody = x.request.Header.IsHead()

	if err := response.ReadLimitBody(c.reader, x.maxResponseBytes); err != nil {
		return merry.Prepend(errIncompleteResponse, err.Error(), merry.NoCaptureStack())
	}

	return checkRequestID(x, response)
}

func (c *conn) write(request *fasthttp.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}

	return c.writer.Flush()
}

// checkRequestID returns errResponseMismatch if the upstream echoed the id of another request.
func checkRequestID(x *exchange, response *fasthttp.Response) error {
	echoed := response.Header.Peek(headerRequestID)
	if len(echoed) > 0 && string(echoed) != x.id {
		return errResponseMismatch
	}

	return nil
}

// isUsable reports whether an idle connection can be reused: one that the upstream has closed, or
// that has unsolicited bytes, cannot.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}

	tcp, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}

	idle := false

	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte

		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(peekErr, syscall.EAGAIN)

		return true
	})

	return err == nil && idle
}

func (c *conn) close() {
	_ = c.netConn.Close()
}
