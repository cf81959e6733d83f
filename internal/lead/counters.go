package lead

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// counters are the metrics of a leader.
type counters struct {
	ends    map[mill.FinishCause]tally.Counter
	yields  tally.Counter
	plan    tally.Histogram
	open    tally.Gauge
	waiting tally.Gauge
	runs    tally.Gauge
	usable  tally.Gauge
	busy    tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	if scope == nil {
		scope = tally.NoopScope
	}

	c := counters{
		ends:    make(map[mill.FinishCause]tally.Counter),
		yields:  scope.Counter("runs_yielded"),
		plan:    scope.Histogram("plan_seconds", tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 12)),
		open:    scope.Gauge("open_jobs"),
		waiting: scope.Gauge("waiting_steps"),
		runs:    scope.Gauge("runs"),
		usable:  scope.Gauge("usable_workers"),
		busy:    scope.Gauge("busy_advisor_addresses"),
	}

	for _, cause := range []mill.FinishCause{
		mill.FinishDone, mill.FinishFailed, mill.FinishStopped, mill.FinishLeaseExpired,
		mill.FinishGangMemberLost, mill.FinishGangTimeout, mill.FinishNotStarted,
	} {
		c.ends[cause] = scope.Tagged(map[string]string{"cause": string(cause)}).Counter("runs_ended")
	}

	return c
}

// count takes note of an event.
func (c *counters) count(e *Event) {
	switch e.Kind {
	case EventEnd:
		if counter, ok := c.ends[mill.FinishCause(e.Detail)]; ok {
			counter.Inc(1)
		}
	case EventYield:
		c.yields.Inc(1)
	default:
	}
}

// show sets the gauges.
func (c *counters) show(s *Summary) {
	c.open.Update(float64(s.Open))
	c.waiting.Update(float64(s.Steps))
	c.runs.Update(float64(s.Runs))
	c.usable.Update(float64(s.Usable))
	c.busy.Update(float64(s.Busy))
}
