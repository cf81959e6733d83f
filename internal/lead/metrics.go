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
	repeated  tally.Counter
	plan      tally.Histogram
	open      tally.Gauge
	waiting   tally.Gauge
	runs      tally.Gauge
	usable    tally.Gauge
	busy      tally.Gauge
	standing  tally.Gauge
	racks     rackMetrics
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}

	m := metrics{
		finished:  make(map[mill.FinishCause]tally.Counter),
		preempted: scope.Counter("runs_yielded"),
		repeated:  scope.Counter("orders_repeated"),
		plan:      scope.Histogram("plan_seconds", tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 12)),
		open:      scope.Gauge("open_jobs"),
		waiting:   scope.Gauge("waiting_steps"),
		runs:      scope.Gauge("runs"),
		usable:    scope.Gauge("usable_workers"),
		busy:      scope.Gauge("busy_advisor_addresses"),
		standing:  scope.Gauge("standing_jobs"),
		racks:     newRackMetrics(scope),
	}

	for _, cause := range []mill.FinishCause{
		mill.FinishDone, mill.FinishFailed, mill.FinishStopped, mill.FinishLeaseExpired, mill.FinishWorkerCrashed,
		mill.FinishGangMemberLost, mill.FinishGangTimeout, mill.FinishNotStarted,
	} {
		m.finished[cause] = scope.Tagged(map[string]string{"cause": string(cause)}).Counter("runs_ended")
	}

	return m
}

// countEvent updates the counters for an event.
func (m *metrics) countEvent(e *Event) {
	switch e.Kind {
	case EventFinish:
		if counter, ok := m.finished[mill.FinishCause(e.Detail)]; ok {
			counter.Inc(1)
		}
	case EventPreempt:
		m.preempted.Inc(1)
	default:
	}
}

func (m *metrics) setGauges(s *Summary) {
	m.open.Update(float64(s.OpenJobs))
	m.waiting.Update(float64(s.WaitingSteps))
	m.runs.Update(float64(s.Runs))
	m.usable.Update(float64(s.UsableWorkers))
	m.busy.Update(float64(s.BusyAddresses))
	m.standing.Update(float64(s.StandingJobs))
}
