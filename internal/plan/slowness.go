package plan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRunWeight is the weight of the newest run in the moving average. The average covers
	// about the last twenty runs, which evens out that run times of identical tasks differ by a third.
	minRunWeight = 0.1
	// priorRuns is the weight, in runs, of the assumption that a worker is as fast as the others.
	priorRuns = 4
	// maxRunSlowness limits the effect of one run: a slower run was disturbed.
	maxRunSlowness = 3.0
)

// Slowness is a moving average of a worker's run times relative to those of other workers; its
// zero value is that of a worker of usual speed.
type Slowness struct {
	mean float64
	runs float64
}

// Record records a run's actual and expected run times.
func (s *Slowness) Record(actual, expected time.Duration) {
	if actual <= 0 || expected <= 0 {
		return
	}

	ratio := min(maxRunSlowness, float64(actual)/float64(expected))
	s.runs++
	s.mean += max(minRunWeight, 1/s.runs) * (ratio - s.mean)
}

// Factor returns the worker's run time as a multiple of the usual one.
func (s *Slowness) Factor() float64 {
	return (s.runs*s.mean + priorRuns) / (s.runs + priorRuns)
}

// RestoreSlowness returns what an earlier leader knew of a worker: its mean run time relative to those of other workers, and
// the number of runs.
func RestoreSlowness(mean, runs float64) Slowness {
	return Slowness{mean: mean, runs: runs}
}

// Mean returns the worker's mean run time relative to those of other workers, and the number of runs that it rests on.
func (s *Slowness) Mean() (mean, runs float64) {
	return s.mean, s.runs
}

// RecordGangRun records the run of a gang, given the workers of its members. They work at the pace of the slowest one, so
// the run says little about the others, and is recorded for the one that is known as the slowest.
func RecordGangRun(members []*Slowness, actual, expected time.Duration) {
	slowest := slices.MaxFunc(members, func(a, b *Slowness) int { return cmp.Compare(a.Factor(), b.Factor()) })
	slowest.Record(actual, expected)
}
