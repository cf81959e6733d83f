package lead

import (
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
)

// maxSaturationAge is how long the saturation that a plan has found counts: several plans are made in that time, unless the
// process stands still.
const maxSaturationAge = 500 * time.Millisecond

// saturation is which services were full at a plan while work for them waited.
type saturation struct {
	plannedAt time.Time
	// since holds since when each saturated service has been so at each plan.
	since map[string]time.Time
}

// at reports whether a service is known to be saturated at a time.
func (s *saturation) at(service string, now time.Time) bool {
	if s == nil || now.Sub(s.plannedAt) >= maxSaturationAge {
		return false
	}

	_, ok := s.since[service]

	return ok
}

// lastsFor returns for how long a service has been saturated at a time; 0 if it is not known to be.
func (s *saturation) lastsFor(service string, now time.Time) time.Duration {
	if !s.at(service, now) {
		return 0
	}

	return now.Sub(s.since[service])
}

// add adds a service that is saturated, since earlier plans if it was so at the one before.
func (s *saturation) add(service string, before *saturation) {
	s.since[service] = s.plannedAt
	if before.at(service, s.plannedAt) {
		s.since[service] = before.since[service]
	}
}

// findSaturation returns which services are full after the plan while a step waits for room in them that its tenant's limit
// does not hold back.
func (s *Scheduler) findSaturation(candidates []*candidate, p *pass) *saturation {
	found := &saturation{plannedAt: p.now, since: make(map[string]time.Time)}
	hasRoom := make(map[roomDemand]bool)

	for _, c := range candidates {
		if len(c.waiting) == 0 || found.at(c.queue.Service, p.now) {
			continue
		}

		demand := c.roomDemand()
		if !c.heldBack && (hasRoom[demand] || !c.waitsForRoom()) {
			continue
		}

		if c.heldBack || p.pool(c).isFullFor(c) {
			found.add(c.queue.Service, s.saturation)
		} else {
			hasRoom[demand] = true
		}
	}

	return found
}

// waitsForRoom reports whether the step waits for room, and not for the advisor beside room that is reserved for it.
func (c *candidate) waitsForRoom() bool {
	return c.advice == nil || !c.advice.requestPending && len(c.adviceWanted) == 0
}

// isFullFor reports whether a pool is full, as a task shows that each of its workers could run if it were empty: none has
// room for it, and little is left in all. A task that needs most of a worker may have no room beside much for others.
func (p *pool) isFullFor(c *candidate) bool {
	perTask := c.step.Reserves()

	if c.tasksPerWorker == 0 || c.step.Label != "" || !plan.NearlyFull(p.free.Sub(p.reserved), p.capacity) {
		return false
	}

	return !slices.ContainsFunc(p.workers, func(w *worker) bool { return perTask.Fits(w.unreserved()) })
}
