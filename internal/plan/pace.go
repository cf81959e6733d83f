package plan

import "time"

const (
	// FullPace is the share, in percent, at which a task works when nobody slows it down.
	FullPace = 100
	// PaceTime is the least time between two changes of a task's pace: the tail of a serving
	// task is given for the last half second, and a change holds from a tenth on.
	PaceTime = 600 * time.Millisecond
)

const (
	// nearTarget and farTarget are the shares of its target above which a serving task's
	// tail calls for less disturbance, and below which it bears more.
	nearTarget = 0.85
	farTarget  = 0.7
	// leastPace is the pace below which a task is paced down to nothing.
	leastPace = 5
	// paceStep is what a pace rises by at a time.
	paceStep = 12
)

// Pace returns the next pace of tasks that fill, by the tail of the serving tasks
// beside them as a share of its target, the highest of them. It answers workers on which
// both kinds run: a tail over its target is under it again within three changes, well
// before it counts as harm, and the pace comes back in steps.
func Pace(pace int, tail float64) int {
	switch {
	case tail >= 1:
		pace /= 4
	case tail >= nearTarget:
		pace = pace * 3 / 4
	case tail < farTarget:
		return min(FullPace, pace+paceStep)
	default:
		return pace
	}

	if pace < leastPace {
		return 0
	}

	return pace
}
