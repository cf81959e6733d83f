package plan

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// TasksWithinLimit returns how many of a number of waiting tasks a tenant may start beside what its runs take already, or
// reports 0 for a gang of which not all may. In a limit, 0 means that the dimension is not limited.
//
// It addresses a tenant that submits more than its limit lets run at once. A tenant that is above its limit in one
// dimension, because that was lowered, starts nothing, not even tasks that need none of it.
func TasksWithinLimit(running, limit, perTask mill.Resources, waiting int, gang bool) int {
	count := waiting

	for _, dimension := range [][3]int64{
		{running.MilliCores, limit.MilliCores, perTask.MilliCores},
		{running.MemoryMiB, limit.MemoryMiB, perTask.MemoryMiB},
		{running.Accelerators, limit.Accelerators, perTask.Accelerators},
	} {
		used, most, each := dimension[0], dimension[1], dimension[2]

		switch {
		case most <= 0:
		case used > most:
			return 0
		case each > 0:
			count = int(min(int64(count), (most-used)/each))
		}
	}

	if gang && count < waiting {
		return 0
	}

	return count
}

// LimitFor returns the limit up to which a tenant's runs may grow by a step, of which at least the given resources start
// together. It keeps headroom for the tenant's urgent steps, as MayStart does in a pool: long deferrable tasks that take all
// of the limit would hold it for seconds. A step that needs more than that leaves gets all of the limit.
func LimitFor(urgency *Urgency, limit, together mill.Resources) mill.Resources {
	if !urgency.Deferrable() {
		return limit
	}

	kept := mill.Resources{
		MilliCores:   withHeadroom(limit.MilliCores),
		MemoryMiB:    withHeadroom(limit.MemoryMiB),
		Accelerators: withHeadroom(limit.Accelerators),
	}

	if TasksWithinLimit(mill.Resources{}, kept, together, 1, false) == 0 {
		return limit
	}

	return kept
}

// withHeadroom returns what an amount leaves without headroom; 0, which is no limit, stays 0.
func withHeadroom(amount int64) int64 {
	if amount <= 0 {
		return amount
	}

	return max(1, int64(float64(amount)*(1-headroomShare)))
}
