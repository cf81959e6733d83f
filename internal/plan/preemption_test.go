package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const stopTime = 400 * time.Millisecond

func accelerators(count int64) mill.Resources {
	return mill.Resources{Accelerators: count}
}

// TestLargeTaskPreemptsSmallOnes checks that a large task preempts small ones on a full worker, and no more of
// them than it needs.
func TestLargeTaskPreemptsSmallOnes(t *testing.T) {
	running := make([]RunningTask, 8)
	for i := range running {
		running[i] = RunningTask{Reserves: accelerators(1), Remaining: time.Duration(i+1) * time.Second, Preemptible: true}
	}

	wait, victims := Preemption(accelerators(0), accelerators(4), running, stopTime)
	assert.Equal(t, wait, stopTime)
	assert.DeepEqual(t, victims, []int{7, 6, 5, 4})

	running[6].Preemptible, running[5].Preemptible = false, false
	_, victims = Preemption(accelerators(0), accelerators(8), running, stopTime)
	assert.Equal(t, len(victims), 0, "stopping all preemptible tasks does not free enough")
}

// TestNoPreemptionIfTasksFinishSoon checks that nothing is stopped if enough tasks finish soon.
func TestNoPreemptionIfTasksFinishSoon(t *testing.T) {
	running := []RunningTask{
		{Reserves: accelerators(4), Remaining: 300 * time.Millisecond, Preemptible: true},
		{Reserves: accelerators(4), Remaining: 9 * time.Second, Preemptible: true},
	}

	wait, victims := Preemption(accelerators(0), accelerators(4), running, stopTime)
	assert.Equal(t, wait, 300*time.Millisecond)
	assert.Equal(t, len(victims), 0)
}

// TestMayPreempt checks that a task is not preempted if it is urgent, if its queue does not
// have a lower priority, if it has no checkpoints, or if the other job will be late in any case.
func TestMayPreempt(t *testing.T) {
	other := &Urgency{Priority: 1, Age: time.Second, Objective: 10 * time.Second, Remaining: 4 * time.Second}
	victim := Urgency{Priority: 2, Objective: 13 * time.Second, Remaining: 2 * time.Second}

	assert.Assert(t, MayPreempt(&victim, other, true))
	assert.Assert(t, !MayPreempt(&victim, other, false))

	urgent := victim
	urgent.Age = 9 * time.Second
	assert.Assert(t, !MayPreempt(&urgent, other, true))

	first := victim
	first.Priority = 1
	assert.Assert(t, !MayPreempt(&first, other, true))

	late := *other
	late.Age = 8 * time.Second
	assert.Assert(t, !MayPreempt(&victim, &late, true))
}
