package httpd

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// failingListener fails its first accepts with the given errors.
type failingListener struct {
	net.Listener

	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]

		return nil, &net.OpError{Op: "accept", Err: err}
	}

	return l.Listener.Accept()
}

// TestAcceptSurvivesErrors has accepts fail as when a process has no descriptor left, and expects the
// listener to go on and to end only when it is closed.
func TestAcceptSurvivesErrors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	listener := &resilientListener{Listener: &failingListener{
		Listener: inner, failures: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, errors.New("unexpected")},
	}}

	client, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)

	defer func() { _ = client.Close() }()

	conn, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.Equal(t, listener.failures.Load(), int64(4))

	assert.NilError(t, inner.Close())

	_, err = listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
