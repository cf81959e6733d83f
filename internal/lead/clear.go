package lead

import (
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// clear keeps small tasks away from one worker for a large task that comes first and
// fits nowhere: otherwise small tasks would fill each gap, and it would never start.
// It answers pools in which tasks that need a whole worker compete with small ones.
// One worker a service is cleared at a time, since its room is idle meanwhile.
func (s *Scheduler) clear(c *candidate, p *pass) {
	if p.cleared[c.queue.Service] {
		return
	}

	var (
		best *worker
		soon time.Duration
	)

	for _, w := range p.pools[c.queue.Service] {
		if !s.mayClear(c, w) {
			continue
		}

		if wait := s.untilRoom(w, c.step.Reserves(), p.now); best == nil || wait < soon {
			best, soon = w, wait
		}
	}

	if best == nil {
		return
	}

	p.cleared[c.queue.Service] = true
	p.kept[best] = p.kept[best].Add(c.step.Reserves())
}

// mayClear reports whether a worker may be cleared for a step: the task takes most of
// it, and the advisor has not refused it.
func (s *Scheduler) mayClear(c *candidate, w *worker) bool {
	if !c.suits(w) || !large(c.step.Reserves(), w.status.Capacity) {
		return false
	}

	allowed, _ := c.allows(w.status.ID, s.began)

	return allowed || c.advice != nil && !c.advice.asked[w.status.ID]
}

// large reports whether a task takes over half of a worker in some dimension.
func large(each, capacity mill.Resources) bool {
	return 2*each.Accelerators > capacity.Accelerators && each.Accelerators > 0 ||
		2*each.MilliCores > capacity.MilliCores || 2*each.MemoryMiB > capacity.MemoryMiB
}

// untilRoom returns about how long it takes until tasks that end leave room.
func (s *Scheduler) untilRoom(w *worker, each mill.Resources, now time.Time) time.Duration {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}

	slices.SortFunc(runs, func(a, b *run) int { return int(s.left(a, now) - s.left(b, now)) })

	free := w.free()

	for _, r := range runs {
		if each.Fits(free) {
			break
		}

		free = free.Add(r.reserves)
		if each.Fits(free) {
			return s.left(r, now)
		}
	}

	return 0
}

// lastingTime stands for the time that a lasting task has left, which nobody knows.
const lastingTime = time.Hour

// left returns about how long a run will go on.
func (s *Scheduler) left(r *run, now time.Time) time.Duration {
	if r.step.Lasting {
		return lastingTime
	}

	takes := s.estimates.Correct(r.queue, r.step.Estimate)
	if r.started.IsZero() {
		return takes
	}

	return max(0, takes-now.Sub(r.started))
}
