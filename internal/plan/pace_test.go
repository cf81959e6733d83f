package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPaceKeepsTailsUnderTheirTarget plays fillers of several strengths beside a serving
// task whose own load changes. It expects no tail over its target for four seconds on end,
// and fillers that do no harm to work at full pace.
func TestPaceKeepsTailsUnderTheirTarget(t *testing.T) {
	for _, strength := range []float64{0.1, 0.5, 1, 3} {
		pace, over, worked, changes := FullPace, time.Duration(0), 0, 0

		for now := time.Duration(0); now < time.Minute; now += PaceTime {
			own := 0.4
			if now > 20*time.Second && now < 40*time.Second {
				own = 0.75
			}

			tail := own + strength*float64(pace)/FullPace

			over += PaceTime
			if tail < 1 {
				over = 0
			}

			assert.Assert(t, over < 4*time.Second, "strength %.1f: over the target for %s", strength, over)

			pace = Pace(pace, tail)
			worked += pace
			changes++
		}

		assert.Assert(t, worked > 0)

		if strength == 0.1 {
			assert.Assert(t, worked/changes > 80, "harmless fillers worked at %d", worked/changes)
		}
	}
}
