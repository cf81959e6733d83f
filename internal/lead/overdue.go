package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// maxOverdueSteps is for how many steps a plan checks whether there is room beyond what is reserved: each check looks at the
// workers that the step may use.
const maxOverdueSteps = 16

// markOverdue marks a step that starts in any room there is, so that its job does not stand still beside free capacity.
// Unless it is a gang, it starts one task: the others keep to the order.
func (s *Scheduler) markOverdue(c *candidate, p *pass) {
	if p.overdueLeft == 0 || !p.mayFit(c) || !plan.Overdue(c.idle(), s.waitOf(c, p.now)) {
		return
	}

	p.overdueLeft--
	c.overdue = s.hasRoom(c, p)

	if c.overdue && !c.step.Gang {
		c.waiting = c.waiting[:1]
	}
}

// waitOf returns for how long a step has waited.
func (s *Scheduler) waitOf(c *candidate, now time.Time) time.Duration {
	since, ok := s.waits[c.id]
	if !ok {
		return 0
	}

	return now.Sub(since)
}

// idle reports whether nothing of the step's job runs, or is being placed. The tasks of a long-running step count each for
// itself.
func (c *candidate) idle() bool {
	return c.step.LongRunning || c.job.Placed == 0 && len(c.waiting) == len(c.state.Tasks)-c.state.Done
}

// hasRoom reports whether the workers that may run an overdue step have room for plan.RoomFactor times what it starts. Those
// about which the advisor was not asked count too.
func (s *Scheduler) hasRoom(c *candidate, p *pass) bool {
	needed := plan.RoomFactor
	if c.step.Gang {
		needed *= len(c.waiting)
	}

	for _, w := range p.pool(c).fitting(c) {
		s.examinedWorkers++

		if !s.mayRun(c, w) {
			continue
		}

		if needed -= c.places(w, w.free()); needed <= 0 {
			return true
		}
	}

	return false
}

// mayRun reports whether a worker could run a task of the step, as far as the advisor was asked.
func (s *Scheduler) mayRun(c *candidate, w *worker) bool {
	if !c.compatible(w) || w.isolatingRuns > 0 || w.tried() {
		return false
	}

	if allowed, _ := c.allows(w.status.ID, s.termStart); allowed {
		return true
	}

	return !c.advice.answeredFor[w.status.ID]
}

// places returns how many tasks of the step a worker may take in the given part of its capacity.
func (c *candidate) places(w *worker, free mill.Resources) int {
	places := c.step.Reserves().TimesIn(free)
	if c.step.MaxPerWorker > 0 {
		places = min(places, c.step.MaxPerWorker-w.countTasks(c.id))
	}

	return max(0, places)
}

// room returns the capacity of a worker that the step may use.
func (c *candidate) room(w *worker) mill.Resources {
	if c.overdue {
		return w.free()
	}

	return w.unreserved()
}
