package httpd

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// acceptPause is the pause after a failed accept: short enough for the connection to be accepted before
	// its caller gives up, and long enough for descriptors to become free.
	acceptPause = 20 * time.Millisecond
	// acceptLogInterval is the least time between two log lines about failed accepts.
	acceptLogInterval = time.Second
)

// resilientListener is a listener whose Accept fails only once the listener is closed. Otherwise a server
// would end at the first accept for which the process has no descriptor left.
type resilientListener struct {
	net.Listener

	failures atomic.Int64
	// loggedAt is the time of the last log line, in nanoseconds since 1970.
	loggedAt atomic.Int64
}

// Accept waits for the next connection, and retries after every error but net.ErrClosed.
func (l *resilientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}

		l.logFailure(err)
		time.Sleep(acceptPause)
	}
}

func (l *resilientListener) logFailure(err error) {
	failures := l.failures.Add(1)
	now, last := time.Now().UnixNano(), l.loggedAt.Load()

	if now-last < acceptLogInterval.Nanoseconds() || !l.loggedAt.CompareAndSwap(last, now) {
		return
	}

	log.Error().Err(err).Str("address", l.Addr().String()).Int64("failures", failures).
		Msg("connection could not be accepted, retrying")
}
