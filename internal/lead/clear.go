package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// clearedShare is the part of a pool, one worker in that many, that may be cleared at
// a time: its room is idle meanwhile.
const clearedShare = 4

// clear keeps small tasks away from some workers for large tasks that come first and
// fit nowhere: otherwise small tasks would fill each gap, and they would never start.
// It answers pools in which tasks that need a whole worker, or a gang of them, compete
// with small ones.
func (s *Scheduler) clear(c *candidate, p *pass) {
	pool := p.pools[c.queue.Service]
	left := max(1, len(pool)/clearedShare) - p.cleared[c.queue.Service]

	count := 1
	if c.step.Gang {
		count = len(c.waiting)
	}

	if count > left || !c.claim.Starving() {
		return
	}

	for _, w := range s.soonest(c, p, pool, count) {
		p.cleared[c.queue.Service]++
		p.kept[w] = p.kept[w].Add(c.step.Reserves())
	}
}

// soonest returns the workers that may be cleared for a step and have room for it first.
func (s *Scheduler) soonest(c *candidate, p *pass, pool []*worker, count int) []*worker {
	type option struct {
		worker *worker
		wait   time.Duration
	}

	var options []option

	for _, w := range pool {
		if _, kept := p.kept[w]; !kept && s.mayClear(c, w) {
			options = append(options, option{worker: w, wait: s.untilRoom(w, c.step.Reserves(), p.now)})
		}
	}

	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.wait, b.wait) })

	workers := make([]*worker, 0, count)
	for _, o := range options[:min(count, len(options))] {
		workers = append(workers, o.worker)
	}

	return workers
}

// mayClear reports whether a worker may be cleared for a step: the task takes most of
// it, and the advisor has not refused it.
func (s *Scheduler) mayClear(c *candidate, w *worker) bool {
	if !c.suits(w) || !large(c.step.Reserves(), w.status.Capacity) {
		return false
	}

	if allowed, _ := c.allows(w.status.ID, s.began); allowed {
		return true
	}

	// As long as too few are known to be allowed, any may turn out to be.
	return len(c.advice.tickets) < len(c.waiting) && !c.advice.asked[w.status.ID]
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

	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(s.left(a, now), s.left(b, now)) })

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
