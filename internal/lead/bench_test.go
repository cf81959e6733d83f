package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// BenchmarkNextFull measures one plan on a pool that is full while hundreds of steps wait.
func BenchmarkNextFull(b *testing.B) {
	for _, workers := range []int{48, 350, 4400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkNext(b, workers) })
	}
}

func benchmarkNext(b *testing.B, workers int) {
	b.Helper()

	state := jobs.NewState()
	state.Apply(&jobs.Command{Setup: worldSetup()})

	now := worldStart
	scheduler := New(Bounds{MaxLease: worldMaxLease}, 1, now, state, place.Pack{})

	for i := range workers {
		scheduler.Report(&mill.WorkerStatus{
			ID: fmt.Sprintf("w%04d", i), Service: "pool", Address: "a", Labels: []string{"a", "r"}, Rack: "r",
			Capacity: mill.Resources{MilliCores: 4000, MemoryMiB: 4000}, ClockMilli: 1, Sequence: 1,
		}, now)
	}

	submit := func(id string, count int) {
		state.Apply(&jobs.Command{Submit: &jobs.Submit{Job: id, Queue: "free", UnixMilli: now.UnixMilli(), Work: mill.Workload{
			Steps: []mill.Step{{Count: count, Each: mill.Resources{MilliCores: 2000}, Estimate: time.Second}},
		}}})
	}

	submit("full", 2*workers)
	scheduler.Next(now, now.UnixMilli(), state)

	for i := range 400 {
		submit(fmt.Sprintf("wait%d", i), 10)
	}

	b.ReportAllocs()

	for b.Loop() {
		scheduler.Next(now, now.UnixMilli(), state)
	}
}
