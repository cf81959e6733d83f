package front

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// counters are the metrics of the path of submissions.
type counters struct {
	verdicts map[mill.Verdict]tally.Counter
	latency  tally.Histogram
}

var verdictNames = map[mill.Verdict]string{
	mill.VerdictAccepted: "accepted",
	mill.VerdictRefused:  "refused",
	mill.VerdictNoQueue:  "noQueue",
	mill.VerdictUnknown:  "unknown",
}

func newCounters(scope tally.Scope) counters {
	if scope == nil {
		scope = tally.NoopScope
	}

	c := counters{
		verdicts: make(map[mill.Verdict]tally.Counter),
		latency:  scope.Histogram("submission_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)),
	}

	for verdict, name := range verdictNames {
		c.verdicts[verdict] = scope.Tagged(map[string]string{"verdict": name}).Counter("submissions")
	}

	return c
}

// answered counts a submission that took a time.
func (c *counters) answered(verdict mill.Verdict, took time.Duration) {
	c.verdicts[verdict].Inc(1)
	c.latency.RecordDuration(took)
}
