package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
)

// room is where a step could run, as far as the advisor was asked.
type room struct {
	places  int
	workers int
	// accepting counts the places on workers that take work, unreserved those of them that no step has reserved, and ticketed
	// those on workers with a valid ticket.
	accepting  int
	unreserved int
	ticketed   int
}

// enough reports whether there is room of each kind for a number of tasks.
func (r *room) enough(tasks int) bool {
	return r.unreserved >= tasks && r.ticketed >= tasks
}

// findRoom looks for room for a step on all workers that run tasks, also on those that take none for now. It stops once
// there is room enough of each kind.
func (s *Scheduler) findRoom(c *candidate, now time.Time) room {
	var found room

	for _, w := range s.workersByID() {
		if !c.step.Reserves().Fits(w.free()) || !c.compatible(w) || !s.runsTasks(w, now) || !c.mayBeAllowed(w) {
			continue
		}

		s.addRoom(&found, c, w, now)

		if found.enough(plan.RoomFactor * c.together()) {
			break
		}
	}

	return found
}

// addRoom adds the room on a worker that may run the step.
func (s *Scheduler) addRoom(found *room, c *candidate, w *worker, now time.Time) {
	places := c.places(w, w.free())
	found.places += places
	found.workers++

	if !s.acceptsOverdue(w, now) || w.isolatingRuns > 0 || w.tried() && !w.proven(now) {
		return
	}

	found.accepting += places
	found.unreserved += c.places(w, w.unreserved())

	if _, valid := c.allows(w.status.ID, now); valid {
		found.ticketed += places
	}
}

// runsTasks reports whether a worker answers and is not about to end, whether or not it is given work.
func (s *Scheduler) runsTasks(w *worker, now time.Time) bool {
	return !w.ended() && !w.leaving && !w.status.Draining && w.failedRenewals == 0 && !w.lastHeard.IsZero() &&
		now.Sub(w.lastHeard) < reportTimeout && w.status.Capacity.Valid() && s.maintenanceOf(w) == nil
}

// mayBeAllowed reports whether the advisor allows a worker, or has not answered anything about the step.
func (c *candidate) mayBeAllowed(w *worker) bool {
	return c.allowsEver(w) || len(c.advice.answeredFor) == 0
}
