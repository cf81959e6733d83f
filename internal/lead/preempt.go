package lead

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// reservedShare is the share of a pool, one worker in this many, that may be reserved for large
// tasks at a time: its free capacity is idle meanwhile.
const reservedShare = 4

// maxReservationSearches is for how many steps of a pool a plan looks for workers to reserve. Each looks at the whole pool,
// and together they may take about as long as the rest of a plan.
const maxReservationSearches = 24

// maxIdleReservation is how soon a worker must have enough free capacity to be reserved for a step
// that is not starving: its capacity is then idle only briefly.
const maxIdleReservation = time.Second

// reservation is a worker that may be reserved for a task, with the time until the task fits.
type reservation struct {
	worker *worker
	wait   time.Duration
	// victims are the runs that must be preempted for the task to fit in that time.
	victims []*run
}

// reserveWorkers reserves whole workers for a step with large tasks that fit nowhere, so that
// smaller tasks with lower precedence don't fill them, and preempts runs there. Without it, tasks
// that need a whole worker, or a gang of them, would never start in a pool that small tasks keep
// filled.
func (s *Scheduler) reserveWorkers(c *candidate, p *pass) {
	pool := p.pool(c)
	available := max(1, len(pool.workers)/reservedShare) - pool.reservedWorkers

	count := 1
	if c.step.Gang {
		count = len(c.waiting)
	}

	searched := pool.reservationSearches == maxReservationSearches
	if count > available || searched || !isLarge(c.step.Reserves(), pool.minCapacity) {
		return
	}

	pool.reservationSearches++

	chosen := s.earliestReservations(c, p, pool.workers, count)
	if len(chosen) < count || !c.urgency.Starving() && chosen[count-1].wait > maxIdleReservation {
		return
	}

	for i := range chosen {
		s.reserveWorker(c, &chosen[i], p)
	}
}

// reserveWorker reserves a worker for a step, and has the advisor asked early enough for the answer
// to arrive when the capacity is free.
func (s *Scheduler) reserveWorker(c *candidate, res *reservation, p *pass) {
	p.pool(c).reservedWorkers++
	p.pool(c).reserve(c, 1)
	res.worker.reserve(c.step.Reserves())

	for _, r := range res.victims {
		s.stopRun(r)
		s.addEvent(EventPreempt, r, c.id.String())
	}

	if c.advice == nil || res.wait > c.queue.Advice.Cost(1)+adviceSlack {
		return
	}

	if _, valid := c.allows(res.worker.status.ID, p.now.Add(res.wait)); !valid {
		c.adviceWanted = append(c.adviceWanted, res.worker.status.ID)
	}
}

// earliestReservations returns the workers that can have capacity for the step the soonest.
func (s *Scheduler) earliestReservations(c *candidate, p *pass, pool []*worker, count int) []reservation {
	var found []reservation

	s.examinedWorkers += len(pool)

	for _, w := range pool {
		if w.reserved == (mill.Resources{}) && s.mayReserve(c, w) {
			found = append(found, s.newReservation(c, w, p))
		}
	}

	slices.SortStableFunc(found, func(a, b reservation) int { return cmp.Compare(a.wait, b.wait) })

	return found[:min(count, len(found))]
}

// newReservation returns when a worker would have capacity for a task of the step, and which runs
// have to be preempted for that.
func (s *Scheduler) newReservation(c *candidate, w *worker, p *pass) reservation {
	runs := w.runsByTask()
	running := s.runningBuffer[:0]

	for _, r := range runs {
		running = append(running, plan.RunningTask{
			Reserves:    r.reserves,
			Remaining:   s.remainingTime(r, p.now),
			Preemptible: s.preemptible(r, c, p),
		})
	}

	s.runningBuffer = running

	wait, victims := plan.Preemption(w.free(), c.step.Reserves(), running, s.bounds.MaxStopTime)
	res := reservation{worker: w, wait: wait}

	for _, at := range victims {
		res.victims = append(res.victims, runs[at])
	}

	return res
}

// preemptible reports whether a run may be stopped for a step that takes precedence.
func (s *Scheduler) preemptible(r *run, c *candidate, p *pass) bool {
	if !r.step.Checkpointing || r.phase != runStarted || r.stopping || r.step.Gang || s.bounds.MaxStopTime == 0 {
		return false
	}

	job, ok := p.state.Job(r.task.Job)
	if !ok || job.Finished() {
		return false
	}

	victim, ok := p.victims[r.task.StepID]
	if !ok {
		running := s.newCandidate(job, p.state.SetupIndex(), r.task.StepID)
		victim = s.newUrgency(running, job.Occurrences[r.task.Occurrence], p.wallMilli)
		p.victims[r.task.StepID] = victim
	}

	return plan.MayPreempt(&victim, &c.urgency, r.step.Checkpointing)
}

// mayReserve reports whether a worker may be reserved for a step: a task needs most of it, and
// the advisor has not refused it.
func (s *Scheduler) mayReserve(c *candidate, w *worker) bool {
	if !isLarge(c.step.Reserves(), w.status.Capacity) || !c.compatible(w) {
		return false
	}

	if allowed, _ := c.allows(w.status.ID, s.termStart); allowed {
		return true
	}

	// While too few workers are known to be allowed, any that the advisor was not asked about may
	// turn out to be.
	return len(c.advice.tickets) < len(c.waiting) && !c.advice.answeredFor[w.status.ID]
}

// isLarge reports whether a task needs over half of the capacity in some dimension.
func isLarge(perTask, capacity mill.Resources) bool {
	return 2*perTask.Accelerators > capacity.Accelerators && perTask.Accelerators > 0 ||
		2*perTask.MilliCores > capacity.MilliCores || 2*perTask.MemoryMiB > capacity.MemoryMiB
}

// longRunningRemaining stands in for the remaining time of a long-running task, which is unknown.
const longRunningRemaining = time.Hour

// remainingTime returns the estimated time until a run finishes.
func (s *Scheduler) remainingTime(r *run, now time.Time) time.Duration {
	if r.stopping {
		return s.bounds.MaxStopTime
	}

	if r.step.LongRunning {
		return longRunningRemaining
	}

	duration := time.Duration(s.runFactor(r) * float64(s.estimates.Correct(r.queue, r.step.Estimate)))
	if r.startedAt.IsZero() {
		return duration
	}

	return max(0, duration-now.Sub(r.startedAt))
}
