package core_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// narrowLinkRate is 1.5 Mbit/s in bytes per second, the narrowest link on which entries have lost the leader.
const narrowLinkRate = 1_500_000 / 8

// narrowLink is a link of limited rate between one process and all others: a proxy on loopback that all its connections
// share. Its zero value is ready.
type narrowLink struct {
	// received is the number of bytes that the link has carried to the process that dials.
	received atomic.Int64
	down, up direction
}

// direction is one direction of a link.
type direction struct {
	mu sync.Mutex
	// free is when all bytes that have been accepted will have been carried.
	free time.Time
}

// carry waits until the direction has carried that many more bytes.
func (d *direction) carry(bytes int) {
	d.mu.Lock()

	if now := time.Now(); d.free.Before(now) {
		d.free = now
	}

	d.free = d.free.Add(time.Duration(bytes) * time.Second / narrowLinkRate)
	wait := time.Until(d.free)
	d.mu.Unlock()

	time.Sleep(wait)
}

// dial opens a connection over the link.
func (l *narrowLink) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer

	far, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	conn, err := dialer.DialContext(ctx, "tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}

	near, err := listener.Accept()
	if err := errors.Join(err, listener.Close()); err != nil {
		return nil, err
	}

	for _, end := range []net.Conn{conn, near, far} {
		if err := limitBuffers(end); err != nil {
			return nil, err
		}
	}

	go l.forward(near, far, &l.down, &l.received)
	go l.forward(far, near, &l.up, &atomic.Int64{})

	return conn, nil
}

// limitBuffers keeps the buffers of a connection small: bytes in large ones arrive even if the connection was given up
// meanwhile, which they need not do on a real link.
func limitBuffers(conn net.Conn) error {
	const size = 16 << 10

	limited, ok := conn.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}

	return errors.Join(limited.SetReadBuffer(size), limited.SetWriteBuffer(size))
}

// forward copies from one connection to the other until either ends, and closes both.
func (l *narrowLink) forward(to, from net.Conn, d *direction, carried *atomic.Int64) {
	// Both ends are closed more than once, here and by the other direction.
	defer func() { _, _ = to.Close(), from.Close() }()

	buffer := make([]byte, 1500)

	for {
		n, err := from.Read(buffer)
		d.carry(n)
		carried.Add(int64(n))

		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// TestNarrowLinkIsNarrow checks that the link of these tests carries no more than its rate.
func TestNarrowLinkIsNarrow(t *testing.T) {
	const size = narrowLinkRate / 2

	listener := listen(t)

	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = conn.Write(make([]byte, size))
			_ = conn.Close()
		}
	}()

	link := &narrowLink{}
	start := time.Now()

	conn, err := link.dial(callContext(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	got, err := io.Copy(io.Discard, conn)
	if err != nil || got != size || time.Since(start) < time.Second/2 {
		t.Fatalf("%d of %d bytes in %s: %v", got, size, time.Since(start), err)
	}
}

// TestLargeMessageOnNarrowLinkArrives guards against a stream that is given up while it carries a message that takes longer
// than an acknowledgment may take, such as a snapshot: it would be sent from its beginning for ever.
func TestLargeMessageOnNarrowLinkArrives(t *testing.T) {
	listener, server := listen(t), &wire.Server{}

	var arrived atomic.Int64

	drive.HandleBatches(server, "m", func(messages [][]byte) {
		for _, message := range messages {
			if len(message) > 1 {
				arrived.Add(1)
			}
		}
	})

	go func() { _ = server.Serve(t.Context(), listener) }()

	link := &narrowLink{}
	outbox := drive.NewOutbox[[]byte](t.Context(), wire.NewClientWithDial(link.dial), "m")

	// Random bytes do not get smaller by compression. Small messages follow, like heartbeats behind a snapshot.
	large := make([]byte, 2*narrowLinkRate)
	_, _ = rand.NewChaCha8([32]byte{}).Read(large)

	assert.Assert(t, outbox.Send(listener.Addr().String(), large))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		outbox.Send(listener.Addr().String(), []byte{1})

		if arrived.Load() == 0 {
			return poll.Continue("the message has not arrived")
		}

		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(100*time.Millisecond))
}
