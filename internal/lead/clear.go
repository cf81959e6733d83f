package lead

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// clearedShare is the part of a pool, one worker in that many, that may be cleared at
// a time: its room is idle meanwhile.
const clearedShare = 4

// soonRoom is how soon a worker must have room for it to be cleared for a step that has
// not waited long: its room is hardly idle then.
const soonRoom = time.Second

// option is a worker that may be cleared for a task.
type option struct {
	worker *worker
	wait   time.Duration
	// stopped are the runs that make room when they are stopped.
	stopped []*run
}

// clear keeps small tasks away from some workers for large tasks that come first and
// fit nowhere, and stops patient ones there: otherwise small tasks would fill each gap, and
// the large ones would never start. It answers pools in which tasks that need a whole
// worker, or a gang of them, compete with small ones.
func (s *Scheduler) clear(c *candidate, p *pass) {
	pool := p.pool(c)
	left := max(1, len(pool.workers)/clearedShare) - pool.cleared

	count := 1
	if c.step.Gang {
		count = len(c.waiting)
	}

	if count > left || !large(c.step.Reserves(), pool.least) {
		return
	}

	chosen := s.soonest(c, p, pool.workers, count)
	if len(chosen) < count || !c.claim.Starving() && chosen[count-1].wait > soonRoom {
		return
	}

	for i := range chosen {
		s.clearOne(c, &chosen[i], p)
	}
}

// clearOne keeps a worker for a step, and has the advisor asked in time for when it has room.
func (s *Scheduler) clearOne(c *candidate, o *option, p *pass) {
	p.pool(c).cleared++
	o.worker.keep(c.step.Reserves())

	for _, r := range o.stopped {
		r.stopping = true
		s.note(EventYield, r, c.id.String())
	}

	if c.advice == nil || o.wait > c.queue.Advice.Cost(1)+askSlack {
		return
	}

	if _, valid := c.allows(o.worker.status.ID, p.now.Add(o.wait)); !valid {
		c.wanted = append(c.wanted, o.worker.status.ID)
	}
}

// soonest returns the workers that may be cleared for a step and have room for it first.
func (s *Scheduler) soonest(c *candidate, p *pass, pool []*worker, count int) []option {
	var options []option

	for _, w := range pool {
		if w.kept == (mill.Resources{}) && s.mayClear(c, w) {
			options = append(options, s.option(c, w, p))
		}
	}

	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.wait, b.wait) })

	return options[:min(count, len(options))]
}

// option returns when a worker would have room for a task of the step.
func (s *Scheduler) option(c *candidate, w *worker, p *pass) option {
	runs := make([]*run, 0, len(w.runs))
	tenants := make([]plan.RunningTask, 0, len(w.runs))

	for _, r := range w.runs {
		runs = append(runs, r)
	}

	slices.SortFunc(runs, func(a, b *run) int { return strings.Compare(a.task.String(), b.task.String()) })

	for _, r := range runs {
		tenants = append(tenants, plan.RunningTask{
			Reserves:    r.reserves,
			Remaining:   s.left(r, p.now),
			Preemptible: s.yields(r, c, p),
		})
	}

	wait, stopped := plan.Preemption(w.free(), c.step.Reserves(), tenants, s.bounds.StopTime)
	o := option{worker: w, wait: wait}

	for _, at := range stopped {
		o.stopped = append(o.stopped, runs[at])
	}

	return o
}

// yields reports whether a run may be stopped for a step that comes first.
func (s *Scheduler) yields(r *run, c *candidate, p *pass) bool {
	if r.phase != runAlive || r.stopping || r.step.Gang || s.bounds.StopTime == 0 {
		return false
	}

	job, ok := p.state.Job(r.task.Job)
	if !ok || job.Finished() {
		return false
	}

	claim := s.claim(s.candidate(job, p.state.Setup(), r.task.StepID), job.Occurrences[r.task.Occurrence], p.wall)

	return plan.MayPreempt(&claim, &c.claim, r.step.Checkpointing)
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

// lastingTime stands for the time that a lasting task has left, which nobody knows.
const lastingTime = time.Hour

// left returns about how long a run will go on.
func (s *Scheduler) left(r *run, now time.Time) time.Duration {
	if r.stopping {
		return s.bounds.StopTime
	}

	if r.step.LongRunning {
		return lastingTime
	}

	takes := s.estimates.Correct(r.queue, r.step.Estimate)
	if r.started.IsZero() {
		return takes
	}

	return max(0, takes-now.Sub(r.started))
}
