package core

import (
	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
)

// outcomeMetrics counts the outcomes of jobs by their reason.
type outcomeMetrics map[jobs.OutcomeReason]tally.Counter

func newOutcomeMetrics(scope tally.Scope) outcomeMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}

	metrics := make(outcomeMetrics)
	for _, reason := range []jobs.OutcomeReason{
		jobs.ReasonTasksDone, jobs.ReasonCanceled, jobs.ReasonAttempts, jobs.ReasonCrashes,
	} {
		metrics[reason] = scope.Tagged(map[string]string{"reason": string(reason)}).Counter("jobs_ended")
	}

	return metrics
}

func (m outcomeMetrics) count(outcome *jobs.Outcome) {
	if counter, ok := m[outcome.Reason]; ok {
		counter.Inc(1)
	}
}
