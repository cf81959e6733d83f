package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// BenchmarkNextRacks measures one plan on 1,100 workers of ten racks, of which one is full, while tasks of 200 jobs wait for
// that one beside room elsewhere.
func BenchmarkNextRacks(b *testing.B) {
	const workers, waiting = 1100, 200

	state := jobs.NewState()
	state.Apply(&jobs.Command{Setup: simSetup()})

	scheduler := New(Bounds{MaxLease: simMaxLease, FarFactor: 3}, 1, simStart, state, place.Pack{})

	for i := range workers {
		scheduler.Report(&mill.WorkerStatus{
			ID: fmt.Sprintf("w%04d", i), Service: "pool", Address: "a", Rack: fmt.Sprintf("r%d", i%10), ClockMilli: 1, Sequence: 1,
			Capacity: mill.Resources{MilliCores: 16000, MemoryMiB: 16000},
		}, simStart)
	}

	submit := func(id string, step mill.Step) {
		step.DataRack, step.PerTask = "r0", mill.Resources{MilliCores: 4000}
		state.Apply(&jobs.Command{Submit: &jobs.Submit{
			Job: id, Queue: "free", UnixMilli: simStart.UnixMilli(), Work: mill.Workload{Steps: []mill.Step{step}},
		}})
	}

	submit("first", mill.Step{Count: 4 * workers / 10, Estimate: time.Second})
	benchmarkPlace(state, scheduler)

	for i := range waiting {
		submit(fmt.Sprintf("wait%d", i), mill.Step{Count: 2, Estimate: time.Second})
	}

	b.ReportAllocs()

	for now := simStart; b.Loop(); now = now.Add(time.Millisecond) {
		scheduler.Next(now, now.UnixMilli(), state)
	}

	b.ReportMetric(float64(scheduler.waitingSteps), "waiting")
}
