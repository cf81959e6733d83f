package plan

import (
	"cmp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func drawUrgency(t *rapid.T, name string) *Urgency {
	seconds := rapid.IntRange(0, 12)

	return &Urgency{
		Priority:    rapid.IntRange(0, 1).Draw(t, name+" priority"),
		Age:         time.Duration(seconds.Draw(t, name+" age")) * time.Second,
		Objective:   time.Duration(seconds.Draw(t, name+" objective")) * time.Second / 2,
		Remaining:   time.Duration(seconds.Draw(t, name+" remaining")) * time.Second / 4,
		LongRunning: rapid.IntRange(0, 5).Draw(t, name+" lasts") == 0,
		Sequence:    uint64(rapid.IntRange(0, 3).Draw(t, name+" sequence")),
	}
}

// compareBeforeTenants is the order of steps before there were tenants.
func compareBeforeTenants(a, b *Urgency) int {
	slack := func(u *Urgency) time.Duration { return u.Objective - u.Age - u.Remaining }
	class := func(u *Urgency) int {
		switch {
		case u.LongRunning || slack(u) >= 0:
			return 0
		case 3*u.Objective-u.Age-u.Remaining >= 0:
			return 1
		default:
			return 2
		}
	}

	return cmp.Or(
		cmp.Compare(class(a), class(b)), cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(slack(a), slack(b)), cmp.Compare(a.Sequence, b.Sequence),
	)
}

// TestFuzzOrderWithoutTenants checks that steps without tenants are ordered, held back and preempted as before there were
// tenants: deployments without them would change by an update.
func TestFuzzOrderWithoutTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawUrgency(t, "a"), drawUrgency(t, "b")
		assert.Equal(t, Compare(a, b), compareBeforeTenants(a, b))

		aSlack := a.Objective - a.Age - a.Remaining
		tooLate := !a.LongRunning && 3*a.Objective < a.Age+a.Remaining
		assert.Equal(t, a.Deferrable(), !a.LongRunning && (tooLate || aSlack > 2*a.Remaining))
		assert.Equal(t, MayPreempt(a, b, true), !a.LongRunning && a.Priority > b.Priority &&
			(b.LongRunning || b.Objective-b.Age-b.Remaining >= 0) && aSlack > 2*time.Second+a.Remaining/2)
	})
}

// TestFuzzOrderBeyondShare checks that work beyond a tenant's share comes after all that is owed in its class and of its
// priority, preempts nothing, and yields to what is owed and on time.
func TestFuzzOrderBeyondShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owed, beyond := drawUrgency(t, "owed"), drawUrgency(t, "beyond")
		beyond.BeyondShare = true
		owed.Level = LevelFarAhead

		without := *beyond
		without.BeyondShare = false

		if owed.class() == beyond.class() && owed.Priority == beyond.Priority {
			assert.Assert(t, Compare(owed, beyond) < 0)
		} else {
			assert.Equal(t, Compare(owed, beyond), Compare(owed, &without))
		}

		assert.Equal(t, beyond.Deferrable(), without.Deferrable())
		assert.Assert(t, !MayPreempt(owed, beyond, true))

		onTime := owed.LongRunning || owed.Objective >= owed.Age+owed.Remaining
		assert.Equal(t, MayPreempt(beyond, owed, true), onTime && !beyond.LongRunning)
	})
}

// TestSlackDecidesAmongEvenlyServedTenants checks that the order within a class and a priority is by level first, that
// tenants about the mean share a level, and that those far from it do not.
func TestSlackDecidesAmongEvenlyServedTenants(t *testing.T) {
	var shares TenantShares
	assert.Equal(t, shares.Level(0, 1), LevelEven)

	load := TenantLoad(mill.Resources{MilliCores: 4000, MemoryMiB: 100_000, Accelerators: 2})
	assert.Equal(t, load, 20_000.0)

	for range 10 {
		shares.Add(load, 2)
	}

	for use, want := range map[float64]ServiceLevel{
		0: LevelEven, 0.4: LevelEven, 1.9: LevelEven, 2.1: LevelAhead, 3.9: LevelAhead, 4.1: LevelFarAhead,
	} {
		assert.Equal(t, shares.Level(use*load, 2), want, "%g", use)
	}

	assert.Equal(t, shares.Level(load, 0), LevelFarAhead)

	tight := &Urgency{Objective: 2 * time.Second, Remaining: time.Second}
	ample := &Urgency{Objective: 9 * time.Second, Remaining: time.Second}
	assert.Assert(t, Compare(tight, ample) < 0)

	tight.Level = LevelAhead
	assert.Assert(t, Compare(tight, ample) > 0)
}
