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

	l.countOverdue()

	for _, q := range l.queues {
		t.Logf("%s: %d in time, %d late", q.Name, q.inTime, q.late)
	}

	summary := l.scheduler.Summary(l.now, l.state)
	t.Logf("%d waiting steps, %d runs, %d workers examined", summary.WaitingSteps, summary.Runs, summary.ExaminedWorkers)

	lookup := l.queues[0]
	assert.Assert(t, 4*lookup.inTime >= 3*(lookup.inTime+lookup.late), "%d in time, %d late", lookup.inTime, lookup.late)
}
