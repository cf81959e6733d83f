package plan

import "time"

// MaxIdleWait is how long a job of which nothing runs is kept waiting beside room for it: for headroom, or for steps that
// come first and have to wait for more room. With a request for advice after it, a task starts within three seconds.
const MaxIdleWait = 1200 * time.Millisecond

// RoomFactor is how many times the room for what an overdue step starts must be there: what is free only just is left
// to the steps that come first.
const RoomFactor = 2

// Overdue reports whether a step whose job runs nothing has waited for so long that it should start in any room there is. It
// answers the load of a pool that is nearly full, where a few large gangs keep room reserved and jobs with ample time
// wait behind the headroom: these then start one task each, and no more, before the others.
func Overdue(idle bool, wait time.Duration) bool {
	return idle && wait > MaxIdleWait
}
