package plan

import "time"

const (
	// FullPace is the pace of a task that is not throttled, in percent of its full rate.
	FullPace = 100
	// MinPaceInterval is the minimum time between two changes of a task's pace: the tail latency of a
	// serving task is measured over the last 500 ms, and a change takes effect after 100 ms.
	MinPaceInterval = 600 * time.Millisecond
)

const (
	// slowDownThreshold is the tail latency, as a share of its target, from which the best-effort
	// tasks beside a serving task are slowed down; below speedUpThreshold, they are sped up.
	slowDownThreshold = 0.85
	speedUpThreshold  = 0.7
	// minPace is the lowest pace above 0; a lower one is rounded down to 0.
	minPace = 5
	// paceIncrement is the amount by which one change raises a pace.
	paceIncrement = 12
)

// NextPace returns the next pace of best-effort tasks. The tail is the highest tail latency of the
// serving tasks on the same worker, each as a share of its target. A tail latency over its target
// is below it again within three changes, well before it counts as harm, and the pace then rises step
// by step.
func NextPace(pace int, tail float64) int {
	switch {
	case tail >= 1:
		pace /= 4
	case tail >= slowDownThreshold:
		pace = pace * 3 / 4
	case tail < speedUpThreshold:
		return min(FullPace, pace+paceIncrement)
	default:
		return pace
	}

	if pace < minPace {
		return 0
	}

	return pace
}
