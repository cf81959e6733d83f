package lead

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestReservationsOfOnePoolLeaveThoseOfOthers expects a large task to get a worker reserved although more tasks that come
// first wait in another pool than a plan looks for workers for.
func TestReservationsOfOnePoolLeaveThoseOfOthers(t *testing.T) {
	state := jobs.NewState()
	state.Apply(&jobs.Command{Setup: &mill.Setup{
		Version: 1,
		Queues: []mill.Queue{
			{Name: "first", Service: "crowded", MaxAttempts: 1, Stretch: 2, Objective: time.Second},
			{Name: "second", Service: "other", Priority: 1, MaxAttempts: 1, Stretch: 2, Objective: time.Second},
		},
		Services: []mill.Service{{Name: "crowded"}, {Name: "other"}},
	}})

	scheduler := New(Bounds{MaxLease: simMaxLease}, 1, simStart, state, place.Pack{})

	for _, service := range []string{"crowded", "other"} {
		for i := range 8 * maxReservationSearches {
			scheduler.Report(&mill.WorkerStatus{
				ID: fmt.Sprintf("%s%03d", service, i), Service: service, Address: "a", ClockMilli: 1, Sequence: 1,
				Capacity: mill.Resources{MilliCores: 4000, MemoryMiB: 4000},
			}, simStart)
		}
	}

	benchmarkSubmit(state, "small1", "first", 16*maxReservationSearches, 2000)
	benchmarkSubmit(state, "small2", "second", 16*maxReservationSearches, 2000)
	scheduler.Next(simStart, simStart.UnixMilli(), state)

	for i := range 2 * maxReservationSearches {
		benchmarkSubmit(state, fmt.Sprintf("large%d", i), "first", 1, 4000)
	}

	benchmarkSubmit(state, "large", "second", 1, 4000)
	scheduler.Next(simStart, simStart.UnixMilli(), state)

	reserved := make(map[string]int)

	for _, w := range scheduler.workers {
		if w.reserved != (mill.Resources{}) {
			reserved[w.status.Service]++
		}
	}

	assert.DeepEqual(t, reserved, map[string]int{"crowded": maxReservationSearches, "other": 1})
}
