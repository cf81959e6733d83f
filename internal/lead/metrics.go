package lead

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// metrics are the metrics of a leader.
type metrics struct {
	finished  map[mill.FinishCause]tally.Counter
	preempted tally.Counter
	plan      tally.Histogram
	open      tally.Gauge
	waiting   tally.Gauge
	runs      tally.Gauge
	usable    tally.Gauge
	busy      tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}

	c := metrics{
		finished:  make(map[mill.FinishCause]tally.Counter),
		preempted: scope.Counter("runs_yielded"),
		plan:      scope.Histogram("plan_seconds", tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 12)),
		open:      scope.Gauge("open_jobs"),
		waiting:   scope.Gauge("waiting_steps"),
		runs:      scope.Gauge("runs"),
		usable:    scope.Gauge("usable_workers"),
		busy:      scope.Gauge("busy_advisor_addresses"),
	}

	for _, cause := range []mill.FinishCause{
		mill.FinishDone, mill.FinishFailed, mill.FinishStopped, mill.FinishLeaseExpired,
		mill.FinishGangMemberLost, mill.FinishGangTimeout, mill.FinishNotStarted,
	} {
		c.finished[cause] = scope.Tagged(map[string]string{"cause": string(cause)}).Counter("runs_ended")
	}

	return c
}

// countEvent updates the counters for an event.
func (c *metrics) countEvent(e *Event) {
	switch e.Kind {
	case EventEnd:
		if counter, ok := c.finished[mill.FinishCause(e.Detail)]; ok {
			counter.Inc(1)
		}
	case EventPreempt:
		c.preempted.Inc(1)
	default:
	}
}

// setGauges sets the gauges.
func (c *metrics) setGauges(s *Summary) {
	c.open.Update(float64(s.OpenJobs))
	c.waiting.Update(float64(s.WaitingSteps))
	c.runs.Update(float64(s.Runs))
	c.usable.Update(float64(s.UsableWorkers))
	c.busy.Update(float64(s.BusyAddresses))
}
