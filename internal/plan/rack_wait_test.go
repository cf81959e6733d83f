package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const milli = time.Millisecond

// relaxed returns a step that can wait for long before its job is late.
func relaxed() *Urgency {
	return &Urgency{Objective: time.Minute, Remaining: time.Second}
}

// TestRackDecision expects each outcome for its reason.
func TestRackDecision(t *testing.T) {
	tight := &Urgency{Objective: 2 * time.Second, Age: 700 * milli, Remaining: time.Second}
	nearlyLate := &Urgency{Objective: 2 * time.Second, Age: 300 * milli, Remaining: time.Second}
	late := &Urgency{Objective: time.Second, Age: time.Second, Remaining: time.Second}

	idleFor := func(idle time.Duration) RackWait { return RackWait{Urgency: relaxed(), Idles: true, Idle: idle} }
	crowded := RackWait{Urgency: relaxed(), Crowding: 1}
	crowdedTight := RackWait{Urgency: &Urgency{Objective: 2 * time.Second, Remaining: time.Second}, Crowding: 1}

	for name, test := range map[string]struct {
		wait RackWait
		room time.Duration
		want RackReason
		stay bool
	}{
		"shorter than the longer run":   {wait: RackWait{Urgency: relaxed()}, room: 700 * milli, want: RackSaves, stay: true},
		"longer than it":                {wait: RackWait{Urgency: relaxed()}, room: 1100 * milli, want: RackTooLong},
		"longer, but the pool is full":  {wait: crowded, room: 1100 * milli, want: RackSaves, stay: true},
		"far longer in a full pool":     {wait: crowded, room: 2100 * milli, want: RackTooLong},
		"unknown":                       {wait: crowded, room: UnknownRoom, want: RackUnknown},
		"only waiting keeps the time":   {wait: RackWait{Urgency: nearlyLate}, room: 300 * milli, want: RackKeeps, stay: true},
		"neither keeps it":              {wait: RackWait{Urgency: tight}, room: 700 * milli, want: RackSaves, stay: true},
		"late anyway":                   {wait: RackWait{Urgency: late}, room: 100 * milli, want: RackSaves, stay: true},
		"only elsewhere keeps the time": {wait: crowdedTight, room: 1100 * milli, want: RackMisses},
		"waited in vain":                {wait: RackWait{Urgency: relaxed(), Waited: time.Second}, room: milli, want: RackExpired},
		"idle job, soon":                {wait: idleFor(time.Second), room: 100 * milli, want: RackSaves, stay: true},
		"idle job, after the promise":   {wait: idleFor(time.Second), room: 300 * milli, want: RackIdle},
		"idle job past the promise":     {wait: idleFor(2 * time.Second), want: RackIdle},
		"no longer run":                 {wait: RackWait{Urgency: relaxed(), Factor: 1}, want: RackUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			test.wait.RunTime = time.Second
			if test.wait.Factor == 0 {
				test.wait.Factor = 2
			}

			decision := test.wait.Decide(test.room)
			assert.Equal(t, decision.Reason, test.want)
			assert.Equal(t, decision.Wait, test.stay)
		})
	}
}

// TestFuzzRackDecision compares decisions with what they bring if the expectations hold: no job becomes late by waiting that
// is on time elsewhere, or the other way round within the bounds, and no wait is longer than what the slower run can cost.
func TestFuzzRackDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 10_000).Draw(t, name)) * milli
		}
		w := RackWait{
			RunTime: length("run"), Factor: rapid.Float64Range(1, 3).Draw(t, "factor"),
			Crowding: rapid.Float64Range(0, 1).Draw(t, "crowding"), Waited: length("waited"),
			Idles: rapid.Bool().Draw(t, "idles"), Idle: length("idle"),
			Urgency: &Urgency{Objective: length("objective"), Age: length("age"), Remaining: length("remaining")},
		}
		room := length("room")
		decision := w.Decide(room)
		extra := time.Duration((w.Factor - 1) * float64(w.RunTime))
		slack := w.Urgency.Objective - w.Urgency.Age - w.Urgency.Remaining

		if !decision.Wait {
			keeps := room <= slack && extra > slack
			assert.Assert(t, !keeps || decision.Reason != RackTooLong && decision.Reason != RackMisses, "%+v", decision)

			return
		}

		assert.Assert(t, room <= slack || extra > slack || slack < 0, "waiting misses the objective")
		assert.Assert(t, decision.For <= 2*extra-w.Waited, "waits for longer than that saves: %s", decision.For)
		assert.Assert(t, !w.Idles || w.Idle+max(room, decision.For) <= MaxIdleWait, "breaks the promise")
	})
}

// TestRackPlaces expects the ends of runs to bring places in their order, and what is free to be one at once.
func TestRackPlaces(t *testing.T) {
	cores := func(count int64) mill.Resources { return mill.Resources{MilliCores: count} }
	workers := []RackWorker{
		{Free: cores(1), Running: []RunningTask{
			{Reserves: cores(4), Remaining: 300 * milli}, {Reserves: cores(1), Remaining: 100 * milli},
		}},
		{Free: cores(5), MaxTasks: 1, OpensIn: 50 * milli},
		{Free: cores(-3), Running: []RunningTask{{Reserves: cores(5), Remaining: 200 * milli}}},
	}

	assert.DeepEqual(t, RackPlaces(workers, cores(2)), []RackPlace{
		{Worker: 1, In: 50 * milli},
		{Worker: 0, In: 100 * milli},
		{Worker: 2, In: 200 * milli},
		{Worker: 0, In: 300 * milli},
		{Worker: 0, In: 300 * milli},
	})
}

// TestWaitInLine expects tasks at the end of a long line to wait for the ends of those before them.
func TestWaitInLine(t *testing.T) {
	places := []RackPlace{{In: 100 * milli}, {In: 300 * milli}}

	assert.Equal(t, WaitInLine(places, 1, time.Second), 300*milli)
	assert.Equal(t, WaitInLine(places, 4, time.Second), 2100*milli)
	assert.Equal(t, WaitInLine(nil, 0, time.Second), UnknownRoom)
	assert.Equal(t, TasksAhead(mill.Resources{MilliCores: 5, MemoryMiB: 2}, mill.Resources{MilliCores: 2, MemoryMiB: 2}), 3)
	assert.Equal(t, TasksAhead(mill.Resources{}, mill.Resources{MilliCores: 2}), 0)
}

// TestCrowding expects longer runs to cost others nothing in a pool that is half free, and all of it in a full one.
func TestCrowding(t *testing.T) {
	capacity := mill.Resources{MilliCores: 100}

	for free, want := range map[int64]float64{100: 0, 50: 0, 25: 0.5, 0: 1, -10: 1} {
		assert.Equal(t, Crowding(mill.Resources{MilliCores: free}, capacity), want)
	}
}

// TestFarFactors expects the factor to be learned from enough runs of both kinds, and to stay within bounds.
func TestFarFactors(t *testing.T) {
	var factors FarFactors

	record := func(queue string, count int, away bool, actual time.Duration) {
		for range count {
			factors.Record(queue, away, actual, time.Second)
		}
	}

	assert.Equal(t, factors.Factor("other"), 1.0)
	record("q", 20, false, 2*time.Second)
	record("q", 5, true, 4*time.Second)
	assert.Equal(t, factors.Factor("q"), 1.0)
	record("q", 15, true, 4*time.Second)
	assert.Assert(t, factors.Factor("q") > 1.99 && factors.Factor("q") < 2.01)
	record("q", 1000, true, time.Minute)
	assert.Equal(t, factors.Factor("q"), float64(maxFarFactor))
	record("q", 1000, true, time.Millisecond)
	assert.Equal(t, factors.Factor("q"), 1.0)
}
