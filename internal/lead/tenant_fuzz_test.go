package lead

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFuzzTenants runs random jobs of tenants whose limits change, through lost and late orders and answers, crashes and
// changes of leader. It guards against a start above the limit of its tenant, and against work that a limit holds up for
// good. Members of a gang that is done end at different times.
func TestFuzzTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, t, 6)
		sim.faultless = false
		sim.memberLag = time.Duration(rapid.IntRange(0, 20).Draw(t, "member lag")) * 100 * time.Millisecond

		draw := &tenantDrawer{actionDrawer: actionDrawer{sim: sim}}
		draw.configure(t)

		t.Repeat(map[string]func(*rapid.T){
			"submit": draw.submitAs,
			"cancel": draw.cancel,
			"pass":   draw.advance,
			"lead":   sim.changeLeader,
			"crash":  draw.crash,
			"back":   draw.recover,
			"cut":    draw.toggleNetwork,
			"reborn": draw.restart,
			"sick":   draw.toggleFault,
			"faults": draw.faults,
			"limits": draw.configure,
		})

		draw.applyLimits(map[string]mill.Resources{"a": draw.largest(), "b": draw.largest()})
		sim.recoverAndCheck(120 * time.Second)
	})
}

// tenantDrawer draws what happens to tenants.
type tenantDrawer struct {
	actionDrawer
	version uint64
}

// largest returns what the largest gang and the long-running tasks of actionDrawer take together.
func (*tenantDrawer) largest() mill.Resources {
	return mill.Resources{MilliCores: 9000, MemoryMiB: 2200, Accelerators: 4}
}

func (d *tenantDrawer) submitAs(t *rapid.T) {
	d.sim.nextTenant = rapid.SampledFrom([]string{"", "a", "a", "b"}).Draw(t, "tenant")
	d.sim.nextBeyondShare = d.sim.nextTenant != "" && rapid.Bool().Draw(t, "beyond share")
	d.submit(t)
}

// configure gives each tenant other limits, or leaves it out of the setup.
func (d *tenantDrawer) configure(t *rapid.T) {
	limits := make(map[string]mill.Resources)

	for _, name := range []string{"a", "b"} {
		if rapid.IntRange(0, 4).Draw(t, name+" stays") > 0 {
			limits[name] = mill.Resources{
				MilliCores:   500 * int64(rapid.IntRange(0, 10).Draw(t, "cores")),
				MemoryMiB:    500 * int64(rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "memory")),
				Accelerators: int64(rapid.IntRange(0, 2).Draw(t, "accelerators")),
			}
		}
	}

	d.applyLimits(limits)
}

func (d *tenantDrawer) applyLimits(limits map[string]mill.Resources) {
	d.version++

	setup := simSetup()
	setup.Version += d.version

	for _, name := range []string{"a", "b"} {
		if limit, ok := limits[name]; ok {
			setup.Tenants = append(setup.Tenants, mill.Tenant{Name: name, MaxRunning: limit})
		}
	}

	d.sim.configure(setup)
}
