package plan

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// headroomShare is the part of a pool that patient work leaves free: a burst of urgent work
// that doubles a tenth of the load finds room at once, and a packed pool has about
// as much left in gaps that fit nothing.
const headroomShare = 0.15

// Patient reports whether the step can wait without harm: its job has time to spare, or
// earns nothing any more. Lasting steps earn while they run.
func (c *Claim) Patient() bool {
	if c.Lasting {
		return false
	}

	return c.class() == classMissed || c.Hurry() < 0
}

// MayStart reports whether a step may take room in a pool that has some of its capacity
// free. It answers bursts of urgent queues in pools that long patient tasks have filled:
// these would hold the room for seconds, and a stop takes as long as an urgent task.
func MayStart(claim *Claim, free, capacity mill.Resources) bool {
	return !claim.Patient() || freeShare(free, capacity) > headroomShare
}

// freeShare returns the least free share of any dimension.
func freeShare(free, capacity mill.Resources) float64 {
	least := 1.0

	for _, dimension := range [][2]int64{
		{free.MilliCores, capacity.MilliCores},
		{free.MemoryMiB, capacity.MemoryMiB},
		{free.Accelerators, capacity.Accelerators},
	} {
		if dimension[1] > 0 {
			least = min(least, float64(dimension[0])/float64(dimension[1]))
		}
	}

	return least
}
