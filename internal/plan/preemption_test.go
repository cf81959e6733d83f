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

// TestRoomByStopping checks that a large task preempts small ones on a full worker, and no more of
// them than it needs.
func TestRoomByStopping(t *testing.T) {
	tenants := make([]Tenant, 8)
	for i := range tenants {
		tenants[i] = Tenant{Reserves: accelerators(1), Left: time.Duration(i+1) * time.Second, Yields: true}
	}

	wait, stopped := Room(accelerators(0), accelerators(4), tenants, stopTime)
	assert.Equal(t, wait, stopTime)
	assert.DeepEqual(t, stopped, []int{7, 6, 5, 4})

	tenants[6].Yields, tenants[5].Yields = false, false
	_, stopped = Room(accelerators(0), accelerators(8), tenants, stopTime)
	assert.Equal(t, len(stopped), 0, "stopping all preemptible tasks does not free enough")
}

// TestRoomByWaiting checks that nothing is stopped if enough tasks finish soon.
func TestRoomByWaiting(t *testing.T) {
	tenants := []Tenant{
		{Reserves: accelerators(4), Left: 300 * time.Millisecond, Yields: true},
		{Reserves: accelerators(4), Left: 9 * time.Second, Yields: true},
	}

	wait, stopped := Room(accelerators(0), accelerators(4), tenants, stopTime)
	assert.Equal(t, wait, 300*time.Millisecond)
	assert.Equal(t, len(stopped), 0)
}

// TestOnlyPatientWorkYields checks that a task is not preempted if it is urgent, if its queue does not
// have a lower priority, if it has no checkpoints, or if the other job will be late in any case.
func TestOnlyPatientWorkYields(t *testing.T) {
	other := &Claim{Priority: 1, Age: time.Second, Objective: 10 * time.Second, Remaining: 4 * time.Second}
	victim := Claim{Priority: 2, Objective: 13 * time.Second, Remaining: 2 * time.Second}

	assert.Assert(t, MayYield(&victim, other, true))
	assert.Assert(t, !MayYield(&victim, other, false))

	urgent := victim
	urgent.Age = 9 * time.Second
	assert.Assert(t, !MayYield(&urgent, other, true))

	first := victim
	first.Priority = 1
	assert.Assert(t, !MayYield(&first, other, true))

	late := *other
	late.Age = 8 * time.Second
	assert.Assert(t, !MayYield(&victim, &late, true))
}
