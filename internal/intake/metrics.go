package intake

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// The reasons for which a connection is closed, and those for which a request is refused.
const (
	evictIdle    = "idle"
	evictHeader  = "header"
	evictBody    = "body"
	evictAnswer  = "answer"
	evictCrowded = "crowded"

	refusedHeader    = "header"
	refusedBody      = "body"
	refusedMemory    = "memory"
	refusedTruncated = "truncated"
)

var evictions = map[phase]string{
	phaseIdle: evictIdle, phaseHeader: evictHeader, phaseBody: evictBody, phaseAnswer: evictAnswer,
}

// logInterval is the least time between two log lines.
const logInterval = time.Second

type metrics struct {
	open, reserved  tally.Gauge
	closed, refused map[string]tally.Counter
	// loggedAt is the time of the last log line, in nanoseconds since 1970.
	loggedAt *atomic.Int64
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}

	return metrics{
		open: scope.Gauge("accepted_connections"), reserved: scope.Gauge("reserved_bytes"),
		closed:   countersByReason(scope, "closed_connections", evictIdle, evictHeader, evictBody, evictAnswer, evictCrowded),
		refused:  countersByReason(scope, "refused_requests", refusedHeader, refusedBody, refusedMemory, refusedTruncated),
		loggedAt: &atomic.Int64{},
	}
}

func countersByReason(scope tally.Scope, name string, reasons ...string) map[string]tally.Counter {
	counters := make(map[string]tally.Counter, len(reasons))
	for _, reason := range reasons {
		counters[reason] = scope.Tagged(map[string]string{"reason": reason}).Counter(name)
	}

	return counters
}

// mayLog reports whether a log line may be written now: at most one in each logInterval.
func (m *metrics) mayLog() bool {
	now, last := time.Now().UnixNano(), m.loggedAt.Load()

	return now-last >= logInterval.Nanoseconds() && m.loggedAt.CompareAndSwap(last, now)
}
