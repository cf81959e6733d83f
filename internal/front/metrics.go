package front

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// metrics are the metrics of submissions.
type metrics struct {
	verdicts map[mill.Verdict]tally.Counter
	latency  tally.Histogram
}

var verdictLabels = map[mill.Verdict]string{
	mill.VerdictAccepted: "accepted",
	mill.VerdictRefused:  "refused",
	mill.VerdictNoQueue:  "noQueue",
	mill.VerdictUnknown:  "unknown",

	mill.VerdictUnauthenticated: "unauthenticated",
	mill.VerdictForbidden:       "forbidden",
	mill.VerdictBeyondShare:     "beyondShare",
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}

	c := metrics{
		verdicts: make(map[mill.Verdict]tally.Counter),
		latency:  scope.Histogram("submission_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)),
	}

	for verdict, name := range verdictLabels {
		c.verdicts[verdict] = scope.Tagged(map[string]string{"verdict": name}).Counter("submissions")
	}

	return c
}

// recordSubmission records the verdict and the duration of a submission.
func (c *metrics) recordSubmission(verdict mill.Verdict, took time.Duration) {
	c.verdicts[verdict].Inc(1)
	c.latency.RecordDuration(took)
}
