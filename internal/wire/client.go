package wire

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Limits on a client's connections.
const (
	idleConnections        = 512
	idleConnectionsPerPeer = 64
	idleTimeout            = 30 * time.Second
	dialTimeout            = time.Second
	// unackedTimeout is how long sent bytes may remain unacknowledged by the peer's
	// kernel. A peer that is partitioned or has lost power does not reset connections.
	unackedTimeout = 1500 * time.Millisecond
)

// Client calls other processes over pooled connections.
type Client struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
	dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewClient returns a client that dials TCP.
func NewClient() *Client {
	dialer := Dialer()

	return NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// NewClientWithDial returns a client that opens its connections with the given function.
func NewClientWithDial(dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	return &Client{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    idleConnections,
			KeyCapacity: idleConnectionsPerPeer,
		}),
		dial: dial,
	}
}

// Dialer returns a dialer whose connections fail when the peer stops answering.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     unackedTimeout,
			Interval: unackedTimeout / 2,
			Count:    2,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout limits how long sent bytes may remain unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error

	err := raw.Control(func(descriptor uintptr) {
		sockoptErr = unix.SetsockoptInt(
			int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()),
		)
	})

	return errors.Join(err, sockoptErr)
}

// Call sends a request to the process at address and returns its response. Its
// errors wrap the sentinel that the peer's error wraps. Without one they wrap
// mill.ErrUnreachable if nothing was sent, or else mill.ErrUnavailable.
func Call[Request, Response any](
	ctx context.Context, c *Client, address, method string, request *Request,
) (*Response, error) {
	var response Response

	conn := c.pool.Get(ctx, address, c.connect)

	err := conn.Invoke(ctx, method, codec{}, request, &response)
	if err != nil {
		return nil, fromCode(ctx, err)
	}

	return &response, nil
}

// Close closes the idle connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

func (c *Client) connect(ctx context.Context, address string) (drpcpool.Conn, error) {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, merry.Prepend(mill.ErrUnreachable, err.Error(), merry.NoCaptureStack())
	}

	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}
