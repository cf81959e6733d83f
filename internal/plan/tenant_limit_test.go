package plan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// withinLimit reports whether an amount is within a limit, in which 0 is no limit.
func withinLimit(amount, limit mill.Resources) bool {
	return (limit.MilliCores == 0 || amount.MilliCores <= limit.MilliCores) &&
		(limit.MemoryMiB == 0 || amount.MemoryMiB <= limit.MemoryMiB) &&
		(limit.Accelerators == 0 || amount.Accelerators <= limit.Accelerators)
}

// TestFuzzTasksWithinLimit compares the count with starting one task after another as long as the sum is within the limit:
// one task too many breaks the limit, one too few leaves a tenant's share unused.
func TestFuzzTasksWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := func(name string, most int) mill.Resources {
			dimension := rapid.IntRange(0, most)

			return mill.Resources{
				MilliCores:   int64(dimension.Draw(t, name+" cores")),
				MemoryMiB:    int64(dimension.Draw(t, name+" memory")),
				Accelerators: int64(dimension.Draw(t, name+" accelerators")),
			}
		}

		running, limit, perTask := amount("running", 12), amount("limit", 20), amount("task", 4)
		waiting := rapid.IntRange(0, 8).Draw(t, "waiting")

		want := 0
		for sum := running.Add(perTask); want < waiting && withinLimit(sum, limit); sum = sum.Add(perTask) {
			want++
		}

		assert.Equal(t, plan.TasksWithinLimit(running, limit, perTask, waiting, false), want)

		if want < waiting {
			want = 0
		}

		assert.Equal(t, plan.TasksWithinLimit(running, limit, perTask, waiting, true), want)
	})
}

// TestDeferrableStepsLeaveHeadroomInALimit guards against a tenant whose urgent jobs wait until its long deferrable tasks
// end, and against a step that never starts because it needs the headroom.
func TestDeferrableStepsLeaveHeadroomInALimit(t *testing.T) {
	limit := mill.Resources{MilliCores: 1000, Accelerators: 10}
	deferrable := &plan.Urgency{Objective: time.Hour, Remaining: time.Second}
	urgent := &plan.Urgency{Objective: time.Second, Remaining: time.Second}

	assert.Equal(t, plan.LimitFor(urgent, limit, mill.Resources{MilliCores: 10}), limit)
	assert.Equal(t, plan.LimitFor(deferrable, limit, mill.Resources{MilliCores: 10}),
		mill.Resources{MilliCores: 850, Accelerators: 8})
	assert.Equal(t, plan.LimitFor(deferrable, limit, mill.Resources{MilliCores: 900}), limit)
}
