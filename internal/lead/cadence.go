package lead

import "time"

const (
	// minRest is the least time between two plans or dispatches, so that several replies share one.
	minRest = 3 * time.Millisecond
	// spacingFactor is the pause after a plan or dispatch as a multiple of its duration while that is short: they are made
	// less often, so that more replies share one and one commit, but not less than each maxSpacing.
	spacingFactor = 16
	maxSpacing    = 15 * time.Millisecond
	// planRestFactor is the time without plans after one as a multiple of its duration, so that the rest of the process,
	// above all consensus, gets most of the processor under any backlog.
	planRestFactor = 3
)

// cadence decides when a runner plans and when it only dispatches. It is meant for a backlog in which plans take long:
// orders and finished runs then do not wait for the next plan.
type cadence struct {
	nextPlan time.Time
}

// planDue reports whether it is time for a plan.
func (c *cadence) planDue(now time.Time) bool {
	return !now.Before(c.nextPlan)
}

// planned records a plan that was begun at the given time.
func (c *cadence) planned(began time.Time, took time.Duration) {
	c.nextPlan = began.Add(took + max(restAfter(took), planRestFactor*took))
}

// restAfter returns the pause after a plan or a dispatch that took the given time.
func restAfter(took time.Duration) time.Duration {
	return max(minRest, min(spacingFactor*took, maxSpacing))
}
