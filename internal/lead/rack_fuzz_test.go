package lead

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
)

// TestFuzzRacks runs random jobs that want racks, also one that there is not, through faults and changes of leader. It
// expects the invariants of all runs to hold, and all work to finish: no task waits for ever for its rack.
func TestFuzzRacks(t *testing.T) {
	seeds.SetChecks(t, 200)

	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, t, 6)
		sim.faultless = false
		sim.farFactor = 2
		sim.newLeader()

		draw := &actionDrawer{sim: sim}

		t.Repeat(map[string]func(*rapid.T){
			"submit": draw.submit,
			"cancel": draw.cancel,
			"pass":   draw.advance,
			"lead":   func(*rapid.T) { sim.newLeader() },
			"cut":    draw.toggleNetwork,
			"reborn": draw.restart,
			"faults": draw.faults,
			"resize": draw.resize,
		})

		sim.recoverAndCheck(90 * time.Second)
	})
}
