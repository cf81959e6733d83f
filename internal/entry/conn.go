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

// The errors of one exchange with an upstream.
var (
	// errNotWritten means that the upstream got no byte of the request.
	errNotWritten = merry.Sentinel("request was not written")
	// errBroken means that the request was written and no whole answer came.
	errBroken = merry.Sentinel("no whole answer")
	// errCrossed means that the answer names another request.
	errCrossed = merry.Sentinel("answer belongs to another request")
)

const connectTime = time.Second

// conn is one connection to an upstream that carries one request at a time.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: connectTime}

	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prepend(errNotWritten, err.Error(), merry.NoCaptureStack())
	}

	return &conn{net: raw, reader: bufio.NewReader(raw), writer: bufio.NewWriter(raw)}, nil
}

// exchange writes a request and reads its answer until the deadline. The
// answer is whole: a body that ends early is an error.
func (c *conn) exchange(exchange *exchange, response *fasthttp.Response, until time.Time) error {
	if err := c.net.SetDeadline(until); err != nil {
		return merry.Prepend(errNotWritten, err.Error(), merry.NoCaptureStack())
	}

	if err := c.write(exchange.request); err != nil {
		return merry.Prepend(errBroken, err.Error(), merry.NoCaptureStack())
	}

	response.SkipBody = exchange.request.Header.IsHead()

	if err := response.ReadLimitBody(c.reader, exchange.answerLimit); err != nil {
		return merry.Prepend(errBroken, err.Error(), merry.NoCaptureStack())
	}

	return checkEcho(exchange, response)
}

func (c *conn) write(request *fasthttp.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}

	return c.writer.Flush()
}

// checkEcho compares the request id where the upstream echoes one.
func checkEcho(exchange *exchange, response *fasthttp.Response) error {
	echoed := response.Header.Peek(headerRequestID)
	if len(echoed) > 0 && string(echoed) != exchange.id {
		return errCrossed
	}

	return nil
}

// alive reports whether an idle connection can be used: one that the upstream
// has closed, or that has bytes nobody asked for, cannot.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}

	tcp, ok := c.net.(syscall.Conn)
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
	_ = c.net.Close()
}
