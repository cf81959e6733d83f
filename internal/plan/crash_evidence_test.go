package plan

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// calmCrash returns a crash under a run that had just begun, alone, in a pool where no other worker crashes.
func calmCrash() Crash {
	return Crash{
		Suspects: 1, Lifetime: 150 * time.Millisecond, Estimate: time.Second,
		Pool: CrashGroup{Workers: 29}, Workers: 30, Span: CrashRateSpan,
	}
}

// crashesUntilGivenUp returns after how many crashes of a kind, after a first one, a task is given up; 0 if it never is.
func crashesUntilGivenUp(first, later Crash) int {
	suspicion := first.Suspicion(0)

	for crashes := 2; crashes < 100; crashes++ {
		added := later.Suspicion(suspicion)
		if suspicion += added; added > 0 && GivesUp(suspicion) {
			return crashes
		}
	}

	return 0
}

// TestCrashEvidence checks after how many crashes a task is given up, by what is known of them. It guards against jobs that
// fail because workers crash anyway, and against tasks that take down one worker after another.
func TestCrashEvidence(t *testing.T) {
	shared := func(c *Crash) { c.Suspects = 3 }
	others := func(count int) func(c *Crash) { return func(c *Crash) { c.Pool.Together = count } }

	for name, test := range map[string]struct {
		first, later func(c *Crash)
		want         int
	}{
		"sole suspect, calm pool":          {func(*Crash) {}, func(*Crash) {}, 2},
		"shared first, calm pool":          {shared, func(*Crash) {}, 2},
		"shared always":                    {shared, shared, 0},
		"two others at once":               {others(2), others(2), 3},
		"three others at once":             {others(3), others(3), 0},
		"data centre at once":              {shared, func(c *Crash) { c.DataCentre = CrashGroup{Workers: 5, Together: 1} }, 0},
		"workers crash now and then":       {shared, func(c *Crash) { c.Recent = 20 }, 3},
		"workers crash all the time":       {shared, func(c *Crash) { c.Recent = 1000 }, 0},
		"not just begun":                   {shared, func(c *Crash) { c.Lifetime = time.Second }, 0},
		"may have ended":                   {shared, func(c *Crash) { c.Estimate = 100 * time.Millisecond }, 4},
		"may have ended each time":         {func(c *Crash) { c.Estimate = 0 }, func(c *Crash) { c.Estimate = 0 }, 5},
		"stopped, or its gang has ended":   {shared, func(c *Crash) { c.Ending = true }, 0},
		"the only workers of a small pool": {shared, func(c *Crash) { c.Pool = CrashGroup{} }, 2},
	} {
		first, later := calmCrash(), calmCrash()
		test.first(&first)
		test.later(&later)
		assert.Equal(t, crashesUntilGivenUp(first, later), test.want, name)
	}
}

// TestInnocentTasksAreNotGivenUp plays tasks on workers that crash for other reasons, alone or five at a time, and compares
// with the policy that counts each crash under the only run that had just begun. It gives up tasks, and this one none.
func TestInnocentTasksAreNotGivenUp(t *testing.T) {
	const (
		workers = 35
		tasks   = 20_000
		span    = 30 * time.Second
		begins  = 200 * time.Millisecond
	)

	random := rand.New(rand.NewPCG(1, 1))

	for _, atOnce := range []int{1, 5} {
		// On average two workers crash in a second.
		waves := 2 * span.Seconds() / float64(atOnce)
		chance := waves * float64(atOnce) / workers * begins.Seconds() / span.Seconds()
		naive, given := 0, 0

		for range tasks {
			suspicion, crashes := 0, 0

			for random.Float64() < chance {
				crash := calmCrash()
				crash.Workers, crash.Pool = workers, CrashGroup{Workers: workers - 1, Together: atOnce - 1}
				crash.Recent = int(waves)*atOnce - 1
				suspicion += crash.Suspicion(suspicion)
				crashes++
			}

			if crashes >= 2 {
				naive++
			}

			if GivesUp(suspicion) {
				given++
			}
		}

		assert.Assert(t, naive > 0, "%d at once", atOnce)
		assert.Equal(t, given, 0, "%d at once, %d by the count of crashes", atOnce, naive)
	}
}

// TestCrashPauseGrows checks that pauses begin with the second crash, grow and stay below the time that a job may wait.
func TestCrashPauseGrows(t *testing.T) {
	assert.Equal(t, CrashPause(1), time.Duration(0))

	for crashes := 2; crashes < 100; crashes++ {
		pause := CrashPause(crashes)
		assert.Assert(t, pause > CrashPause(crashes-1) || pause == maxCrashPause, "%d crashes", crashes)
		assert.Assert(t, pause <= maxCrashPause)
	}
}
