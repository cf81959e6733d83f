package lead

import (
	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/internal/plan"
)

// rackMetrics are the metrics of tasks that want a rack.
type rackMetrics struct {
	placed        tally.Counter
	inVain        tally.Counter
	away          map[plan.RackReason]tally.Counter
	awayCoreMilli tally.Counter
}

func newRackMetrics(scope tally.Scope) rackMetrics {
	result := func(value string) tally.Counter {
		return scope.Tagged(map[string]string{"result": value}).Counter("rack_waits")
	}

	m := rackMetrics{
		placed: result("placed"), inVain: result("inVain"), away: make(map[plan.RackReason]tally.Counter),
		awayCoreMilli: scope.Counter("rack_away_core_milliseconds"),
	}

	for _, reason := range []plan.RackReason{
		plan.RackUnknown, plan.RackTooLong, plan.RackMisses, plan.RackIdle, plan.RackExpired, rackFailed, rackOverdue,
	} {
		m.away[reason] = scope.Tagged(map[string]string{"reason": string(reason)}).Counter("rack_away")
	}

	return m
}

func (m *rackMetrics) add(counts RackCounts) {
	m.placed.Inc(int64(counts.Placed))
	m.inVain.Inc(int64(counts.InVain))
	m.awayCoreMilli.Inc(counts.AwayCoreMilli)

	for reason, tasks := range counts.Away {
		if counter, ok := m.away[reason]; ok {
			counter.Inc(int64(tasks))
		}
	}
}
