package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestSaturation checks when a service counts as full: not while there is room, nor for a large task beside room for small
// ones, nor for work that only its tenant's limit holds back, and not by an old plan. Work would else be refused beside
// room for it.
func TestSaturation(t *testing.T) {
	state, scheduler := benchmarkPool(8)
	limitTenant(state, 1000)

	saturated := func() bool {
		placements(scheduler, state, simStart)

		return scheduler.saturation.at("pool", simStart)
	}

	assert.Assert(t, !scheduler.saturation.at("pool", simStart), "nothing is known before the first plan")

	benchmarkSubmit(state, "half", "free", 8, 1500)
	submitForTenant(state, "limited", "free", mill.Step{Count: 9, PerTask: mill.Resources{MilliCores: 500}})
	assert.Assert(t, !saturated())

	benchmarkSubmit(state, "large", "free", 1, 4000)
	assert.Assert(t, !saturated())

	benchmarkSubmit(state, "rest", "free", 16, 2000)
	assert.Assert(t, saturated())
	assert.Assert(t, !scheduler.saturation.at("annex", simStart))
	assert.Assert(t, !scheduler.saturation.at("pool", simStart.Add(time.Second)))
}
