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

// TestRoomByStopping plays a worker full of small patient tasks, and expects a large task to
// get it within a stop, and no more to be stopped than it needs.
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
	assert.Equal(t, len(stopped), 0, "stopping all that yield is not enough")
}

// TestRoomByWaiting expects nothing to be stopped where tasks end soon by themselves.
func TestRoomByWaiting(t *testing.T) {
	tenants := []Tenant{
		{Reserves: accelerators(4), Left: 300 * time.Millisecond, Yields: true},
		{Reserves: accelerators(4), Left: 9 * time.Second, Yields: true},
	}

	wait, stopped := Room(accelerators(0), accelerators(4), tenants, stopTime)
	assert.Equal(t, wait, 300*time.Millisecond)
	assert.Equal(t, len(stopped), 0)
}

// TestOnlyPatientWorkYields expects work that is urgent itself, of a queue that comes first, not
// saved, or stopped for what is late anyway, to go on.
func TestOnlyPatientWorkYields(t *testing.T) {
	other := &Claim{Priority: 1, Age: time.Second, Objective: 10 * time.Second, Remaining: 4 * time.Second}
	patient := Claim{Priority: 2, Objective: 13 * time.Second, Remaining: 2 * time.Second}

	assert.Assert(t, MayYield(&patient, other, true))
	assert.Assert(t, !MayYield(&patient, other, false))

	urgent := patient
	urgent.Age = 9 * time.Second
	assert.Assert(t, !MayYield(&urgent, other, true))

	first := patient
	first.Priority = 1
	assert.Assert(t, !MayYield(&first, other, true))

	late := *other
	late.Age = 8 * time.Second
	assert.Assert(t, !MayYield(&patient, &late, true))
}
