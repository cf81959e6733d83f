package conns

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// ErrExhausted is returned by Dial if as many connections are open as the budget allows.
var ErrExhausted = errors.New("the budget for connections is used up")

const (
	// reservedDescriptors are those that the platform reserves for files outside the data folder.
	reservedDescriptors = 200
	// dialedShare is the share of the other descriptors, one in this many, for connections that the process opens.
	dialedShare = 2
	// defaultBudget applies where the limit of descriptors is not known.
	defaultBudget = 1024
	// reclaimInterval is the least time between two reclaims of idle connections, and between two log lines.
	reclaimInterval = time.Second
)

// Budget limits how many connections are open at a time. Its zero value allows a default number.
type Budget struct {
	limit int64
	open  atomic.Int64
	// reclaim closes idle connections. It is called when the budget is used up; nil if there is nothing to reclaim.
	reclaim func()

	mu          sync.Mutex
	reclaimedAt time.Time
}

// NewBudget returns a budget for a process that may have maxDescriptors open, where 0 means that the limit is
// not known. When the budget is used up, it calls reclaim, which should close idle connections.
func NewBudget(maxDescriptors int, reclaim func()) *Budget {
	b := &Budget{reclaim: reclaim}

	if maxDescriptors > 0 {
		b.limit = int64(max(1, (maxDescriptors-reservedDescriptors)/dialedShare))
	}

	return b
}

// AcceptLimit returns how many connections a process may accept that may have maxDescriptors open, where 0 means that the
// limit is not known: they get the descriptors that no Budget gives to opened ones.
func AcceptLimit(maxDescriptors int) int {
	if maxDescriptors <= 0 {
		return defaultBudget
	}

	descriptors := maxDescriptors - reservedDescriptors

	return max(1, descriptors-descriptors/dialedShare)
}

// Dial opens a connection by calling open, or returns ErrExhausted without calling it.
func (b *Budget) Dial(open func() (net.Conn, error)) (net.Conn, error) {
	if b.open.Add(1) > b.max() {
		b.open.Add(-1)
		b.reclaimIdle()

		return nil, ErrExhausted
	}

	opened, err := open()
	if err != nil {
		b.open.Add(-1)

		return nil, err
	}

	return &conn{Conn: opened, budget: b}, nil
}

// Open returns the number of open connections.
func (b *Budget) Open() int64 {
	return b.open.Load()
}

func (b *Budget) max() int64 {
	if b.limit == 0 {
		return defaultBudget
	}

	return b.limit
}

func (b *Budget) reclaimIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()

	if time.Since(b.reclaimedAt) < reclaimInterval {
		return
	}

	b.reclaimedAt = time.Now()

	log.Warn().Int64("open", b.Open()).Int64("limit", b.max()).Msg("too many connections, closing idle ones")

	if b.reclaim != nil {
		b.reclaim()
	}
}

// conn is a connection that returns its descriptor to the budget when it is closed.
type conn struct {
	net.Conn

	budget *Budget
	closed atomic.Bool
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.budget.open.Add(-1)
	}

	return c.Conn.Close()
}
