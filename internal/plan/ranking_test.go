package plan

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// drawWorkers draws workers of which many are alike, so that ties are frequent.
func drawWorkers(t *rapid.T) []CandidateWorker {
	workers := make([]CandidateWorker, rapid.IntRange(0, 24).Draw(t, "workers"))

	for i := range workers {
		workers[i] = CandidateWorker{
			View: mill.WorkerView{
				ID:       fmt.Sprintf("w%d", i),
				Rack:     fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "rack")),
				Capacity: mill.Resources{MilliCores: 4000, MemoryMiB: 4000},
				Free:     mill.Resources{MilliCores: 1000 * rapid.Int64Range(0, 4).Draw(t, "free"), MemoryMiB: 4000},
			},
			StepTasks:   rapid.IntRange(0, 2).Draw(t, "stepTasks"),
			OnProbation: rapid.IntRange(0, 5).Draw(t, "probation") == 0,
			Tried:       rapid.Bool().Draw(t, "tried"),
			Busy:        rapid.Bool().Draw(t, "busy"),
			Contended:   rapid.IntRange(0, 5).Draw(t, "contended") == 0,
			Slowness:    float64(rapid.IntRange(0, 2).Draw(t, "slowness")) / 4,
		}
	}

	return workers
}

// TestRankingChoosesAsPlainSearch expects the placement with a heap to choose the same workers as one that rates all
// workers for each task.
func TestRankingChoosesAsPlainSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := drawWorkers(t)
		plain := slices.Clone(workers)
		demand := &Demand{
			PerTask:         mill.Resources{MilliCores: 500 * rapid.Int64Range(1, 4).Draw(t, "cores"), MemoryMiB: 100},
			MaxPerWorker:    rapid.IntRange(0, 3).Draw(t, "maxPerWorker"),
			PreferredRack:   rapid.SampledFrom([]string{"", "r1"}).Draw(t, "preferredRack"),
			SameRack:        rapid.Bool().Draw(t, "sameRack"),
			SpeedPreference: float64(rapid.IntRange(-1, 1).Draw(t, "preference")),
		}
		count := rapid.IntRange(1, 30).Draw(t, "count")
		placer := rapid.SampledFrom([]mill.Placer{place.Pack{}, place.Spread{}}).Draw(t, "placer")
		nothing := func(int, string) bool { return false }

		assert.DeepEqual(t, PlaceTasks(workers, demand, count, placer, nil), PlaceTasks(plain, demand, count, placer, nothing))
		assert.DeepEqual(t, workers, plain)
	})
}
