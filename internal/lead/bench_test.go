package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// BenchmarkNextAdvised measures one plan on a pool with free capacity in which hundreds of steps
// wait for an advisor that answers few requests at a time.
func BenchmarkNextAdvised(b *testing.B) {
	for _, workers := range []int{48, 350, 1100, 4400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkAsking(b, workers, 600, 49) })
	}
}

func benchmarkAsking(b *testing.B, workers, waiting, callers int) {
	b.Helper()

	state, scheduler := benchmarkPool(workers)

	for i := range callers {
		scheduler.AdvisorReachable(fmt.Sprintf("front%d", i), simStart)
	}

	for i := range waiting {
		benchmarkSubmit(state, fmt.Sprintf("wait%d", i), "advised", 10, 1000)
	}

	b.ReportAllocs()

	for b.Loop() {
		scheduler.Next(simStart, simStart.UnixMilli(), state)
	}
}

// BenchmarkNextFull measures one plan on a full pool while hundreds of steps wait.
func BenchmarkNextFull(b *testing.B) {
	for _, workers := range []int{48, 350, 4400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkFull(b, workers, 400) })
	}
}

func benchmarkFull(b *testing.B, workers, waiting int) {
	b.Helper()

	state, scheduler := benchmarkPool(workers)
	benchmarkFullPool(b, state, scheduler, workers, waiting)
}

// benchmarkFullPool measures plans while a job fills all workers and others wait.
func benchmarkFullPool(b *testing.B, state *jobs.State, scheduler *Scheduler, workers, waiting int) {
	b.Helper()

	benchmarkSubmit(state, "full", "free", 2*workers, 2000)
	scheduler.Next(simStart, simStart.UnixMilli(), state)

	for i := range waiting {
		benchmarkSubmit(state, fmt.Sprintf("wait%d", i), "free", 10, 2000)
	}

	b.ReportAllocs()

	for b.Loop() {
		scheduler.Next(simStart, simStart.UnixMilli(), state)
	}
}

// BenchmarkNextLargeSetup measures one plan on a full pool while hundreds of steps wait, beside a setup with 1,200 queues.
func BenchmarkNextLargeSetup(b *testing.B) {
	state, scheduler := benchmarkPool(48)
	setup := *simSetup()
	setup.Version++

	filler := make([]mill.Queue, 1200)
	for i := range filler {
		filler[i] = mill.Queue{Name: fmt.Sprint("filler", i), Service: "pool"}
	}

	setup.Queues = append(filler, setup.Queues...)
	state.Apply(&jobs.Command{Setup: &setup})
	benchmarkFullPool(b, state, scheduler, 48, 400)
}

// benchmarkPool returns a scheduler with the given number of idle workers.
func benchmarkPool(workers int) (*jobs.State, *Scheduler) {
	state := jobs.NewState()
	state.Apply(&jobs.Command{Setup: simSetup()})

	scheduler := New(Bounds{MaxLease: simMaxLease}, 1, simStart, state, place.Pack{})

	for i := range workers {
		scheduler.Report(&mill.WorkerStatus{
			ID: fmt.Sprintf("w%04d", i), Service: "pool", Address: "a", Labels: []string{"a", "r"}, Rack: "r",
			Capacity: mill.Resources{MilliCores: 4000, MemoryMiB: 4000}, ClockMilli: 1, Sequence: 1,
		}, simStart)
	}

	return state, scheduler
}

// benchmarkPlace plans once and commits the placements.
func benchmarkPlace(state *jobs.State, scheduler *Scheduler) {
	actions := scheduler.Next(simStart, simStart.UnixMilli(), state)
	results := make([]jobs.Result, 0, len(actions.Commands))

	for i := range actions.Commands {
		results = append(results, state.Apply(&actions.Commands[i]))
	}

	scheduler.Committed(actions.Commands, results, nil, simStart)
}

func benchmarkSubmit(state *jobs.State, id, queue string, count int, milliCores int64) {
	work := mill.Workload{Steps: []mill.Step{{
		Count: count, PerTask: mill.Resources{MilliCores: milliCores}, Estimate: time.Second,
	}}}

	state.Apply(&jobs.Command{Submit: &jobs.Submit{Job: id, Queue: queue, UnixMilli: simStart.UnixMilli(), Work: work}})
}

// BenchmarkNextLarge measures one plan at the size of the large deployment: 1,100 workers, 6,000 running tasks of 600
// jobs, and some steps that wait, as many as arrive in a tenth of a second.
func BenchmarkNextLarge(b *testing.B) {
	const workers, open, tasksEach, waiting = 1100, 600, 10, 7

	state, scheduler := benchmarkPool(workers)

	for i := range 150 {
		scheduler.AdvisorReachable(fmt.Sprintf("front%d", i), simStart)
	}

	for i := range open {
		benchmarkSubmit(state, fmt.Sprintf("open%d", i), "free", tasksEach, 500)
	}

	benchmarkPlace(state, scheduler)

	for i := range waiting {
		benchmarkSubmit(state, fmt.Sprintf("wait%d", i), "advised", 25, 1000)
	}

	b.ReportAllocs()

	for b.Loop() {
		scheduler.Next(simStart, simStart.UnixMilli(), state)
	}
}

// BenchmarkNextGangs measures one plan on a pool of workers with accelerators that small tasks fill, while gangs of
// whole workers wait.
func BenchmarkNextGangs(b *testing.B) {
	const workers, waiting = 308, 40

	state, scheduler := benchmarkPool(0)
	scheduler.bounds.MaxStopTime = 900 * time.Millisecond

	for i := range workers {
		scheduler.Report(&mill.WorkerStatus{
			ID: fmt.Sprintf("w%04d", i), Service: "pool", Address: "a", Labels: []string{"a", "r"}, Rack: "r",
			Capacity: mill.Resources{MilliCores: 64000, MemoryMiB: 64000, Accelerators: 8}, ClockMilli: 1, Sequence: 1,
		}, simStart)
	}

	submit := func(id string, step mill.Step) {
		step.Estimate = time.Second
		state.Apply(&jobs.Command{Submit: &jobs.Submit{
			Job: id, Queue: "free", UnixMilli: simStart.UnixMilli(), Work: mill.Workload{Steps: []mill.Step{step}},
		}})
	}

	for i := range 8 * workers / 40 {
		submit(fmt.Sprintf("small%d", i), mill.Step{Count: 40, PerTask: mill.Resources{MilliCores: 5600, Accelerators: 1}})
	}

	benchmarkPlace(state, scheduler)

	for _, r := range scheduler.runs {
		scheduler.markStarted(r, simStart)
	}

	for i := range waiting {
		perTask := mill.Resources{MilliCores: 31000, Accelerators: 8}
		submit(fmt.Sprintf("gang%d", i), mill.Step{Count: 8, Gang: true, PerTask: perTask})
	}

	b.ReportAllocs()

	for b.Loop() {
		scheduler.Next(simStart, simStart.UnixMilli(), state)
	}
}

// BenchmarkNextTenants measures one plan on a full pool with 600 waiting steps, of no tenant and of 430 tenants. Of those
// that have tasks running, every second is at its limit.
func BenchmarkNextTenants(b *testing.B) {
	for _, tenants := range []int{0, 430} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) { benchmarkTenants(b, tenants) })
	}
}

func benchmarkTenants(b *testing.B, tenants int) {
	b.Helper()

	const workers, waiting = 350, 600

	state, scheduler := benchmarkPool(workers)
	setup := simSetup()
	setup.Version++

	for i := range tenants {
		setup.Tenants = append(setup.Tenants, mill.Tenant{
			Name: fmt.Sprintf("t%d", i), Weight: 1, MaxRunning: mill.Resources{MilliCores: 4000 + int64(i%2)*100_000},
		})
	}

	state.Apply(&jobs.Command{Setup: setup})

	submit := func(id string, number, count int) {
		tenant := ""
		if tenants > 0 {
			tenant = fmt.Sprintf("t%d", number%tenants)
		}

		state.Apply(&jobs.Command{Submit: &jobs.Submit{
			Job: id, Queue: "free", UnixMilli: simStart.UnixMilli(), Tenant: tenant, Work: mill.Workload{
				Steps: []mill.Step{{Count: count, PerTask: mill.Resources{MilliCores: 2000}, Estimate: time.Second}},
			},
		}})
	}

	for i := range workers {
		submit(fmt.Sprintf("run%d", i), i, 2)
	}

	scheduler.Next(simStart, simStart.UnixMilli(), state)

	for i := range waiting {
		submit(fmt.Sprintf("wait%d", i), i, 10)
	}

	b.ReportAllocs()

	for b.Loop() {
		scheduler.Next(simStart, simStart.UnixMilli(), state)
	}
}
