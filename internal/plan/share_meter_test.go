package plan

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFuzzShareMeter compares the meter with a bucket that is filled in steps of a millisecond: a meter that lets more pass
// takes the share of others, and one that lets less pass marks work that is owed. The times at which both differ by
// rounding are left out.
func TestFuzzShareMeter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := float64(rapid.IntRange(1, 400).Draw(t, "weight")) / 10
		most := max(1, 2*weight)
		meter, tokens, now := ShareMeter{}, most, time.Unix(0, 0)

		for range rapid.IntRange(1, 80).Draw(t, "submissions") {
			for range rapid.SampledFrom([]int{0, 1, 20, 300, 3000}).Draw(t, "pause") {
				now = now.Add(time.Millisecond)
				tokens = min(most, tokens+weight/1000)
			}

			if math.Abs(tokens-1) < 1e-6 {
				return
			}

			beyond, wait := meter.Take("t", weight, now)
			assert.Equal(t, beyond, tokens < 1)

			if beyond {
				assert.Assert(t, math.Abs(wait.Seconds()-(1-tokens)/weight) < 1e-6)
			} else {
				tokens--
			}
		}
	})
}

// TestShareMeterForgetsTenants checks that tenants that a setup does not name take no memory, and that others keep what they
// have used.
func TestShareMeterForgetsTenants(t *testing.T) {
	var meter ShareMeter

	now := time.Unix(0, 0)

	for i := range 100 {
		meter.Take(fmt.Sprintf("t%d", i), 0.5, now)
	}

	meter.Configure(&mill.Setup{Tenants: []mill.Tenant{{Name: "t1", Weight: 0.5}, {Name: "t2"}}})
	assert.Equal(t, len(meter.buckets), 2)

	beyond, wait := meter.Take("t1", 0.5, now)
	assert.Assert(t, beyond)
	assert.Equal(t, wait, 2*time.Second)
}

// TestTenantWithoutWeight checks that a tenant without a weight has no share beside tenants that have one.
func TestTenantWithoutWeight(t *testing.T) {
	var meter ShareMeter

	for _, other := range []float64{0, 1} {
		meter.Configure(&mill.Setup{Tenants: []mill.Tenant{{Name: "a", Weight: other}, {Name: "b"}}})

		beyond, _ := meter.Take("b", 0, time.Unix(0, 0))
		assert.Equal(t, beyond, other > 0)
	}
}

// TestAdmitBeyondShare checks that work is refused only where a service is saturated, and that the returns of a burst are
// spread evenly and not before the share has room.
func TestAdmitBeyondShare(t *testing.T) {
	const wait = 300 * time.Millisecond

	quarters := make(map[int]int)

	for i := range 400 {
		admit, retryAfter := AdmitBeyondShare(fmt.Sprintf("%016x", i), lastingSaturation, wait)
		assert.Assert(t, !admit && retryAfter >= wait && retryAfter <= wait+shareWindow)
		quarters[int(4*(retryAfter-wait)/shareWindow)]++

		admit, _ = AdmitBeyondShare(fmt.Sprintf("%016x", i), lastingSaturation-1, wait)
		assert.Assert(t, admit)
	}

	for quarter := range 4 {
		assert.Assert(t, quarters[quarter] > 50, "%v", quarters)
	}
}
