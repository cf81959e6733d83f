package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// metrics are the metrics of callers' requests.
type metrics struct {
	outcomes map[mill.Outcome]tally.Counter
	latency  tally.Histogram
	late     tally.Counter
	retries  tally.Counter
	replays  tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	outcomes := make(map[mill.Outcome]tally.Counter)

	for _, outcome := range []mill.Outcome{mill.OutcomeRan, mill.OutcomeNotRun, mill.OutcomeUnknown} {
		outcomes[outcome] = scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("answers")
	}

	return metrics{
		outcomes: outcomes,
		latency:  scope.Histogram("answer_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
		late:     scope.Counter("late_answers"),
		retries:  scope.Counter("retries"),
		replays:  scope.Counter("replayed_answers"),
	}
}
