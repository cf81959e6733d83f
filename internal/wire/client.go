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

// The bounds of a client's idle connections.
const (
	idleConnections        = 512
	idleConnectionsPerPeer = 64
	idleTime               = 30 * time.Second
	dialTime               = time.Second
	// silentTime is how long sent bytes may stay unacknowledged by the peer's
	// kernel: a peer that is cut off or without power does not reset connections.
	silentTime = 1500 * time.Millisecond
)

// Client calls other processes over pooled connections.
type Client struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
	dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewClient returns a client that dials TCP.
func NewClient() *Client {
	dialer := Dialer()

	return &Client{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTime,
			Capacity:    idleConnections,
			KeyCapacity: idleConnectionsPerPeer,
		}),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// Dialer returns a dialer whose connections end when the peer falls silent.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTime,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     silentTime,
			Interval: silentTime / 2,
			Count:    2,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout bounds the time that sent bytes may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error

	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTime.Milliseconds()))
	})

	return errors.Join(err, failed)
}

// Call sends a request to the process at address and returns its response; an
// error that wraps none of the peer's sentinels wraps mill.ErrUnreachable when
// nothing was sent and mill.ErrUnavailable otherwise.
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
