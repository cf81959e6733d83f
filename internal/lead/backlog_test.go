package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBacklogIsWorkedOff expects short jobs that arrive after an outage to complete in time again.
func TestBacklogIsWorkedOff(t *testing.T) {
	l := newLoadSimulation(1)
	l.runUntil(simStart.Add(8 * time.Second))
	l.outage(simStart.Add(14 * time.Second))

	l.countFrom = simStart.Add(18 * time.Second)
	l.runUntil(simStart.Add(30 * time.Second))
	l.checkLookups(t)
}

// checkLookups expects three quarters of the short jobs that count to be in time.
func (l *loadSimulation) checkLookups(t *testing.T) {
	t.Helper()

	l.countOverdue()

	for _, q := range l.queues {
		t.Logf("%s: %d in time, %d late", q.Name, q.inTime, q.late)
	}

	summary := l.scheduler.Summary(l.now, l.state)
	t.Logf("%d waiting steps, %d runs, %d workers examined", summary.WaitingSteps, summary.Runs, summary.ExaminedWorkers)

	lookup := l.queues[0]
	assert.Assert(t, 4*lookup.inTime >= 3*(lookup.inTime+lookup.late), "%d in time, %d late", lookup.inTime, lookup.late)
}

// TestOrdersDoNotWaitForLongPlans expects short jobs to complete in time though plans take long.
func TestOrdersDoNotWaitForLongPlans(t *testing.T) {
	l := newLoadSimulation(1)
	l.planTime = 30 * time.Millisecond
	l.countFrom = simStart.Add(4 * time.Second)
	l.runUntil(simStart.Add(14 * time.Second))
	l.checkLookups(t)
}
