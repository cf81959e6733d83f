package mill

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestTimesIn expects as many demands to fit as can be taken away from the capacity one after another.
func TestTimesIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Resources {
			return Resources{
				MilliCores:   rapid.Int64Range(0, 8).Draw(t, name+"Cores"),
				MemoryMiB:    rapid.Int64Range(0, 8).Draw(t, name+"Memory"),
				Accelerators: rapid.Int64Range(0, 8).Draw(t, name+"Accelerators"),
			}
		}
		demand, left := draw("demand"), draw("capacity")
		want, times := 0, demand.TimesIn(left)

		for demand.Valid() && demand.Fits(left) {
			left = left.Sub(demand)
			want++
		}

		assert.Equal(t, times, want)
	})
}
