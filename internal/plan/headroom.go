package plan

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// headroomShare is the share of a pool's capacity that deferrable work leaves free. A burst that
// doubles the urgent tenth of the load then starts at once, and a packed pool loses about as
// much to fragmentation anyway.
const headroomShare = 0.15

// Deferrable reports whether delaying the step is harmless: its job has ample slack, or is so late
// that completing it has no value. Long-running steps have value only while they run, so they are
// never deferrable.
func (u *Urgency) Deferrable() bool {
	if u.LongRunning {
		return false
	}

	return u.class() == classTooLate || u.SpeedPreference() < 0
}

// MayStart reports whether a step may start tasks in a pool, given the pool's free capacity. It
// keeps headroom for bursts of urgent queues in pools that long deferrable tasks would fill:
// those hold their capacity for seconds, and stopping one takes as long as an urgent task runs.
func MayStart(urgency *Urgency, free, capacity mill.Resources) bool {
	return !urgency.Deferrable() || minFreeShare(free, capacity) > headroomShare
}

// fragmentedShare is the share of a pool's capacity that may be left in parts too small to use while the pool is full: on a
// worker that three tasks fit on, the rest is up to a quarter.
const fragmentedShare = 0.25

// NearlyFull reports whether so little of a pool is free that a task without room shows the pool to be full.
func NearlyFull(free, capacity mill.Resources) bool {
	return minFreeShare(free, capacity) <= fragmentedShare
}

// minFreeShare returns the lowest free share over all resources.
func minFreeShare(free, capacity mill.Resources) float64 {
	lowest := 1.0

	for _, dimension := range [][2]int64{
		{free.MilliCores, capacity.MilliCores},
		{free.MemoryMiB, capacity.MemoryMiB},
		{free.Accelerators, capacity.Accelerators},
	} {
		if dimension[1] > 0 {
			lowest = min(lowest, float64(dimension[0])/float64(dimension[1]))
		}
	}

	return lowest
}
