package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPaceKeepsTailsUnderTheirTarget simulates best-effort tasks that interfere more or less with a
// serving task whose own load changes. No tail latency may exceed its target for 4 s in a row, and
// tasks that interfere little must run at nearly full pace.
func TestPaceKeepsTailsUnderTheirTarget(t *testing.T) {
	for _, interference := range []float64{0.1, 0.5, 1, 3} {
		pace, overTarget, totalPace, changes := FullPace, time.Duration(0), 0, 0

		for now := time.Duration(0); now < time.Minute; now += MinPaceInterval {
			ownLoad := 0.4
			if now > 20*time.Second && now < 40*time.Second {
				ownLoad = 0.75
			}

			tail := ownLoad + interference*float64(pace)/FullPace

			overTarget += MinPaceInterval
			if tail < 1 {
				overTarget = 0
			}

			assert.Assert(t, overTarget < 4*time.Second, "interference %.1f: over the target for %s", interference, overTarget)

			pace = NextPace(pace, tail)
			totalPace += pace
			changes++
		}

		assert.Assert(t, totalPace > 0)

		if interference == 0.1 {
			assert.Assert(t, totalPace/changes > 80,
				"best-effort tasks with little interference ran at a mean pace of %d", totalPace/changes)
		}
	}
}
