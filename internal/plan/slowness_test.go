package plan

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSlowWorkerIsFoundAmongGangs plays gangs on workers that are drawn for each, of which one is slow, with run times that
// differ by a third. It expects that worker, and no other, to be known as slow.
func TestSlowWorkerIsFoundAmongGangs(t *testing.T) {
	const (
		slow    = 1.4
		members = 4
	)

	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, seed))
		workers := make([]Slowness, 12)

		for range 600 {
			drawn := random.Perm(len(workers))[:members]
			gang := make([]*Slowness, 0, members)
			took := 0.85 + 0.3*random.Float64()
			factor := 1.0

			for _, worker := range drawn {
				gang = append(gang, &workers[worker])

				if worker == 0 {
					factor = slow
				}
			}

			RecordGangRun(gang, time.Duration(took*factor*float64(time.Second)), time.Second)
		}

		for i := range workers {
			known := workers[i].Factor() > (1+slow)/2
			assert.Equal(t, known, i == 0, "worker %d: %.2f, seed %d", i, workers[i].Factor(), seed)
		}
	}
}
