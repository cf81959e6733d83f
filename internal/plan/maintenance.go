package plan

import "time"

const (
	// maintenanceMargin is the time that a machine's turn in a wave takes in addition to the maintenance:
	// the first report of the worker's next incarnation, and the scheduling pass that sees it.
	maintenanceMargin = 1500 * time.Millisecond
	// maxDrainTime limits how long a machine is drained: most tasks finish within it, and the
	// capacity freed meanwhile is idle.
	maxDrainTime = 5 * time.Second
)

// DrainTime returns how long a machine may be drained before its maintenance without making the wave
// late, given the wave's duration, number of machines and limit of machines at once. In waves with
// ample time, tasks can then finish instead of being killed.
func DrainTime(duration time.Duration, machines, maxAtOnce int, maintenance time.Duration) time.Duration {
	maxAtOnce = min(maxAtOnce, machines) // So that the sum below cannot overflow.
	rounds := (machines + maxAtOnce - 1) / maxAtOnce

	return min(maxDrainTime, max(0, duration/time.Duration(rounds)-maintenance-maintenanceMargin))
}

// MayInterrupt reports whether maintenance may interrupt some tasks of a long-running step, given
// how many of its tasks are already unavailable; a maxUnavailable of 0 means no limit.
func MayInterrupt(interrupted, unavailable, maxUnavailable int) bool {
	return maxUnavailable == 0 || interrupted == 0 || unavailable+interrupted <= maxUnavailable
}
