package lead

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFuzzCapacity runs random jobs on executors whose capacity shrinks and grows while they run, and expects all work
// to finish once it has grown again.
func TestFuzzCapacity(t *testing.T) {
	seeds.SetChecks(t, 200)

	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, t, 6)
		sim.faultless = false

		draw := &actionDrawer{sim: sim}

		t.Repeat(map[string]func(*rapid.T){
			"submit": draw.submit,
			"cancel": draw.cancel,
			"pass":   draw.advance,
			"resize": draw.resize,
			"sick":   draw.toggleFault,
			"faults": draw.faults,
		})

		sim.recoverAndCheck(60 * time.Second)
	})
}

// TestWaitingWorkStartsAfterGrowth has every executor shrink until no task fits, and expects the jobs submitted then
// to wait without a placement, and to be completed soon after the executors have grown again.
func TestWaitingWorkStartsAfterGrowth(t *testing.T) {
	sim := newSimulation(t, nil, 4)
	sim.run(time.Second)

	for _, e := range sim.executors {
		e.resize(mill.Resources{MilliCores: 400, MemoryMiB: 4000, Accelerators: 1})
	}

	sim.run(2 * simReportInterval)

	// The advisor always allows two workers that can hold the gang.
	steps := map[string]mill.Step{
		"single": {Count: 3, PerTask: mill.Resources{MilliCores: 500, MemoryMiB: 100}},
		"gang":   {Count: 2, PerTask: mill.Resources{MilliCores: 2500, MemoryMiB: 100}, Gang: true},
		"cards":  {Count: 1, PerTask: mill.Resources{MilliCores: 100, MemoryMiB: 100, Accelerators: 4}},
	}
	for _, kind := range slices.Sorted(maps.Keys(steps)) {
		step := steps[kind]
		sim.submit(kind+"-free", "free", 500*time.Millisecond, step)
		sim.submit(kind+"-advised", "advised", 500*time.Millisecond, step)
	}

	sim.run(10 * time.Second)

	for id := range sim.specs {
		job, _ := sim.state.Job(id)
		assert.Assert(t, !job.MayHaveStarted, "%s", id)
	}

	for i, e := range sim.executors {
		e.resize(mill.Resources{MilliCores: simCapacity, MemoryMiB: simCapacity, Accelerators: int64(i % 2 * 4)})
	}

	sim.run(8 * time.Second)

	for id := range sim.specs {
		job, _ := sim.state.Job(id)
		assert.Assert(t, job.Finished(), "%s: %s", id, sim.explain(id))
	}
}
