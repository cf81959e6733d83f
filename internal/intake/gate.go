package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/internal/conns"
)

const (
	// budgetShare is the share of the process's memory for bodies, what they are decoded into, and answers. In the
	// smallest core process, of 280 MB, a report of 4 MiB with 107,000 rows fits.
	budgetShare = 0.25
	// connectionShare is the share of the process's memory for connections.
	connectionShare = 0.25
	// connectionBytes is the memory of a connection besides the buffer for its header: 4 KiB for writing, 8 KiB for
	// the first part of a body, 8 KiB of stack, and the states of the connection and of its request.
	connectionBytes = 24 << 10
	// defaultMemory applies where the memory of the process is not known.
	defaultMemory  = 256 << 20
	minConnections = 16

	// tickInterval is how often connections are checked, and the resolution of their bounds.
	tickInterval = 200 * time.Millisecond
	// maxIdleTime is how long a connection without requests is kept open while there is room for others.
	maxIdleTime = 60 * time.Second
	// transferGrace and slowestRate bound the time for a body or an answer. A link of 1.5 Mbit/s carries six times
	// this rate, and its users share it.
	transferGrace = 10 * time.Second
	slowestRate   = 32 << 10
	// crowdedRate is the rate below which a body is given up after crowdedGrace while another one finds no room: a
	// third of what a link of 1.5 Mbit/s carries.
	crowdedRate  = 64 << 10
	crowdedGrace = 2 * time.Second
)

// transferTimeout returns how long a client may take to send or receive that many bytes.
func transferTimeout(bytes int64) time.Duration {
	return transferGrace + time.Duration(bytes)*time.Second/slowestRate
}

// Gate holds the connections and the budget of a process. All its ports share them.
type Gate struct {
	budget         *Budget
	maxConnections int
	metrics        metrics
	// ticks counts intervals while the process runs, so that no connection is given up because the process was
	// suspended.
	ticks atomic.Int64
	order atomic.Int64

	mu    sync.Mutex
	conns []*conn
}

// Config holds the limits of a process.
type Config struct {
	// MemoryBytes and MaxDescriptors are 0 if they are not known.
	MemoryBytes    int64
	MaxDescriptors int
	// HeaderBytes is the size of the largest header of any port.
	HeaderBytes int
	// Scope receives the metrics; nil for none.
	Scope tally.Scope
}

// NewGate returns the gate of a process.
func NewGate(config *Config) *Gate {
	memory := config.MemoryBytes
	if memory <= 0 {
		memory = defaultMemory
	}

	affordable := int64(float64(memory)*connectionShare) / int64(connectionBytes+config.HeaderBytes)

	return &Gate{
		budget:         NewBudget(int64(float64(memory) * budgetShare)),
		maxConnections: max(minConnections, min(conns.AcceptLimit(config.MaxDescriptors), int(affordable))),
		metrics:        newMetrics(config.Scope),
	}
}

// Run gives up connections whose clients are too slow, until the context ends.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.tick()
		}
	}
}

func (g *Gate) tick() {
	now := g.ticks.Add(1)

	g.mu.Lock()
	open := len(g.conns)
	crowded := open > g.maxConnections/2

	late := make(map[*conn]string)

	for _, c := range g.conns {
		if reason, ok := c.late(now, crowded); ok {
			late[c] = reason
		}
	}
	g.mu.Unlock()

	for c, reason := range late {
		g.evict(c, reason)
	}

	g.metrics.open.Update(float64(open))
	g.metrics.reserved.Update(float64(g.budget.Used()))
}

// late reports whether the client has not done in time what the connection waits for, and what that is. While there is
// room for others, an idle connection is kept longer than the limit, because opening one has a cost.
func (c *conn) late(now int64, crowded bool) (reason string, ok bool) {
	current := c.current()

	switch current {
	case phaseServed, phaseDetached:
		return "", false
	case phaseIdle:
		if crowded && now-c.since.Load() > int64(c.port.config.Limits().IdleTimeout/tickInterval) {
			return evictIdle, true
		}
	default:
	}

	return evictions[current], now > c.until.Load()
}

// add takes a place for a connection. At the bound, the connection that has waited longest for a request loses its own,
// or the new one if all others are being served.
func (g *Gate) add(c *conn) {
	var longest *conn

	g.mu.Lock()

	if len(g.conns) >= g.maxConnections {
		if longest = g.longestWaiting(); longest == nil {
			longest = c
		}
	}

	c.index = len(g.conns)
	g.conns = append(g.conns, c)
	g.mu.Unlock()

	if longest != nil {
		g.evict(longest, evictCrowded)
	}
}

// longestWaiting returns the connection that has waited longest for a request, or for the end of its header. If there
// is none, it returns the one that has been receiving a body or an answer for longest, or nil.
func (g *Gate) longestWaiting() *conn {
	var waiting, transferring *conn

	for _, c := range g.conns {
		switch c.current() {
		case phaseIdle, phaseHeader:
			if waiting == nil || c.waiting.Load() < waiting.waiting.Load() {
				waiting = c
			}
		case phaseBody, phaseAnswer:
			if transferring == nil || c.since.Load() < transferring.since.Load() {
				transferring = c
			}
		default:
		}
	}

	if waiting != nil {
		return waiting
	}

	return transferring
}

func (g *Gate) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()

	last := len(g.conns) - 1
	if c.index > last || g.conns[c.index] != c {
		return
	}

	g.conns[c.index] = g.conns[last]
	g.conns[c.index].index = c.index
	g.conns[last] = nil
	g.conns = g.conns[:last]
}

func (g *Gate) evict(c *conn, reason string) {
	g.metrics.closed[reason].Inc(1)
	g.logEviction(c, reason)

	_ = c.Close()
}

func (g *Gate) logEviction(c *conn, reason string) {
	// Closing an idle connection after a minute is nothing unusual.
	if reason != evictIdle && g.metrics.mayLog() {
		log.Warn().Str("client", c.RemoteAddr().String()).Str("reason", reason).Int("open", g.open()).
			Int64("reserved", g.budget.Used()).Msg("connection closed")
	}
}

func (g *Gate) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return len(g.conns)
}

// Reserved returns the number of bytes that requests and answers in flight take.
func (g *Gate) Reserved() int64 {
	return g.budget.Used()
}

// reserve takes bytes from the budget. If there are too few, it gives up bodies that arrive slowly, and waits shortly
// for what they return.
func (g *Gate) reserve(bytes int64) bool {
	if bytes > g.budget.limit {
		return false
	}

	for try := range reserveTries {
		if g.budget.Reserve(bytes) {
			return true
		}

		if try == 0 {
			g.evictSlowest()
		}

		time.Sleep(reservePause)
	}

	return false
}

const (
	reserveTries = 10
	reservePause = 10 * time.Millisecond
)

// evictSlowest gives up the body that arrives most slowly, if it is slower than crowdedRate.
func (g *Gate) evictSlowest() {
	var slowest *conn

	now := g.ticks.Load()
	lowest := int64(crowdedRate)

	g.mu.Lock()
	for _, c := range g.conns {
		elapsed := time.Duration(now-c.since.Load()) * tickInterval
		if c.current() != phaseBody || elapsed < crowdedGrace {
			continue
		}

		if rate := c.received.Load() * int64(time.Second) / int64(elapsed); rate < lowest {
			slowest, lowest = c, rate
		}
	}
	g.mu.Unlock()

	if slowest != nil {
		g.evict(slowest, evictBody)
	}
}
