package plan

import "time"

const (
	// upkeepReserve is what a machine's turn in a wave is given beside the upkeep itself: the
	// next life's first report, and the look that sees it.
	upkeepReserve = 1500 * time.Millisecond
	// drainMost bounds how long a machine is kept from new work before its upkeep: most
	// tasks end within it, and its room is idle meanwhile.
	drainMost = 5 * time.Second
)

// DrainTime returns how long a machine may be kept from new work before its upkeep, by the
// wave's time, machines and bound, so that the wave is not late. It answers waves with much
// time, in which tasks can end by themselves instead of being thrown away.
func DrainTime(duration time.Duration, machines, atOnce int, upkeep time.Duration) time.Duration {
	turns := (machines + atOnce - 1) / atOnce

	return min(drainMost, max(0, duration/time.Duration(turns)-upkeep-upkeepReserve))
}

// MayTakeAway reports whether planned work may end some tasks of a lasting step, by how many
// of them are away already and how many may be; 0 for a step without such a bound.
func MayTakeAway(ends, away, mayMiss int) bool {
	return mayMiss == 0 || ends == 0 || away+ends <= mayMiss
}
