package intake

import (
	"net"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int32

const (
	// phaseIdle means that no byte of the next request has arrived.
	phaseIdle phase = iota
	phaseHeader
	phaseBody
	// phaseServed means that the request is with its handler, which bounds its own time.
	phaseServed
	phaseAnswer
	// phaseDetached means that the handler has taken over the connection.
	phaseDetached
)

// conn is an accepted connection of a port.
type conn struct {
	net.Conn

	port  *Port
	phase atomic.Int32
	// since and until are the ticks at which the phase began and at which it is ended.
	since, until atomic.Int64
	// waiting orders connections by when they began to wait for a request.
	waiting atomic.Int64
	// received is the number of bytes of the body that have arrived.
	received atomic.Int64
	// answer is the number of bytes reserved for the answer. It is used by the connection's own goroutine, and by
	// Close.
	answer atomic.Int64
	closed atomic.Bool
	// request is what the request being served takes. It is used by the connection's own goroutine.
	request reservation
	// streaming is set while the answer is a stream, which has pauses. It is used by the connection's own goroutine.
	streaming bool
	// index is the position among the gate's connections, guarded by its lock.
	index int
}

func newConn(port *Port, inner net.Conn) *conn {
	c := &conn{Conn: inner, port: port, request: reservation{gate: port.gate}}
	c.awaitRequest()

	return c
}

// Read reads from the connection, and notes the begin of a request.
func (c *conn) Read(p []byte) (int, error) {
	if c.streaming {
		c.streaming = false
		c.awaitRequest()
	}

	if c.current() == phaseIdle {
		c.releaseAnswer()
	}

	n, err := c.Conn.Read(p)
	if n > 0 {
		switch c.current() {
		case phaseIdle:
			c.enter(phaseHeader, c.port.config.Limits().HeaderTimeout)
		case phaseBody:
			c.received.Add(int64(n))
		default:
		}
	}

	return n, err
}

// Write writes to the connection. The client loses it if it does not read the bytes in time.
func (c *conn) Write(p []byte) (int, error) {
	before := c.current()
	if before == phaseDetached {
		return c.Conn.Write(p)
	}

	c.enter(phaseAnswer, transferTimeout(int64(len(p))))

	n, err := c.Conn.Write(p)

	switch {
	case before == phaseBody:
		// The client was asked to send the body.
		c.enter(phaseBody, transferTimeout(int64(c.port.config.Limits().BodyBytes)))
	case c.streaming:
		c.enter(phaseServed, 0)
	default:
		c.awaitRequest()
	}

	return n, err
}

// SetReadDeadline is called by the server only once a header has been read. The gate enforces the deadline, which
// costs less than a timer for each request.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.received.Store(0)
	c.enter(phaseBody, time.Until(deadline))

	return nil
}

// SetDeadline is called by the server when the handler takes over the connection.
func (c *conn) SetDeadline(deadline time.Time) error {
	c.enter(phaseDetached, 0)

	return c.Conn.SetDeadline(deadline)
}

// Close closes the connection and gives up its place.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.port.gate.remove(c)
		c.releaseAnswer()
	}

	return c.Conn.Close()
}

func (c *conn) current() phase { return phase(c.phase.Load()) }

func (c *conn) enter(next phase, timeout time.Duration) {
	now := c.port.gate.ticks.Load()
	c.since.Store(now)
	c.until.Store(now + 1 + int64(timeout/tickInterval))
	c.phase.Store(int32(next))
}

func (c *conn) awaitRequest() {
	c.waiting.Store(c.port.gate.order.Add(1))
	c.enter(phaseIdle, maxIdleTime)
}

func (c *conn) releaseAnswer() {
	if bytes := c.answer.Swap(0); bytes > 0 {
		c.port.gate.budget.Release(bytes)
	}
}
