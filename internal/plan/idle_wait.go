package plan

import "time"

// MaxIdleWait is how long a job of which nothing runs is kept waiting beside room for it: for headroom, or for steps that
// come first. With a request for advice after it, a task starts within three seconds.
const MaxIdleWait = 1200 * time.Millisecond

// RoomFactor is how many times the room for what an overdue step starts must be there: what is free only just is left
// to the steps that come first.
const RoomFactor = 2

// Overdue reports whether a step whose job has run nothing for the given time should start in any room that the order
// leaves. It answers the load of a pool that is nearly full beside a long backlog, where jobs with ample time and late ones
// wait behind the headroom, behind large gangs that keep room reserved, and for the advisor: these then start one task
// each, and no more.
func Overdue(idle time.Duration) bool {
	return idle > MaxIdleWait
}
