package lead

import (
	"slices"
	"strings"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// pass is one look at all candidates, best first.
type pass struct {
	now   time.Time
	wall  int64
	state *jobs.State
	pools map[string]*pool
	// callers are the addresses from which the advisor can be asked now.
	callers []string
	// keeps is for how many more steps room may be looked for to ask the advisor about.
	keeps int
}

// newPass returns a pass in which nothing is kept and no question was spent.
func (s *Scheduler) newPass(now time.Time, wall int64, state *jobs.State) *pass {
	callers := s.freeCallers(now)

	return &pass{
		now:     now,
		wall:    wall,
		state:   state,
		pools:   s.pools(now),
		callers: callers,
		keeps:   len(callers) + keepsBeside,
	}
}

// pool is the workers of one service that may be given work.
type pool struct {
	// workers are in a fixed order.
	workers []*worker
	// most is the most free room of any worker, and least the least capacity, in each dimension.
	most  mill.Resources
	least mill.Resources
	// free is what all workers together have left, and capacity all that they have.
	free     mill.Resources
	capacity mill.Resources
	// cleared counts the workers that are being cleared for large tasks.
	cleared int
}

// noPool stands for a service without workers.
var noPool = &pool{}

// pool returns the workers for a step.
func (p *pass) pool(c *candidate) *pool {
	if found, ok := p.pools[c.queue.Service]; ok {
		return found
	}

	return noPool
}

// add takes a worker into the pool.
func (p *pool) add(w *worker) {
	free, capacity := w.free(), w.status.Capacity

	p.most.MilliCores = max(p.most.MilliCores, free.MilliCores)
	p.most.MemoryMiB = max(p.most.MemoryMiB, free.MemoryMiB)
	p.most.Accelerators = max(p.most.Accelerators, free.Accelerators)

	if len(p.workers) == 0 {
		p.least = capacity
	}

	p.least.MilliCores = min(p.least.MilliCores, capacity.MilliCores)
	p.least.MemoryMiB = min(p.least.MemoryMiB, capacity.MemoryMiB)
	p.least.Accelerators = min(p.least.Accelerators, capacity.Accelerators)

	p.free = p.free.Add(free)
	p.capacity = p.capacity.Add(capacity)
	p.workers = append(p.workers, w)
}

// take charges the pool with a task.
func (p *pool) take(each mill.Resources) {
	p.free = p.free.Sub(each)
}

// hasRoom reports whether a task of the step could fit on some worker. On a full
// pool it spares the look at each worker for each of hundreds of steps.
func (p *pass) hasRoom(c *candidate) bool {
	return c.step.Reserves().Fits(p.pool(c).most)
}

// pools returns the workers that may be given work, by service, with nothing kept on them.
func (s *Scheduler) pools(now time.Time) map[string]*pool {
	usable := make([]*worker, 0, len(s.workers))

	for _, w := range s.workers {
		if s.takes(w, now) {
			usable = append(usable, w)
		}
	}

	slices.SortFunc(usable, byID)

	pools := make(map[string]*pool)

	for _, w := range usable {
		w.kept = mill.Resources{}

		if pools[w.status.Service] == nil {
			pools[w.status.Service] = &pool{}
		}

		pools[w.status.Service].add(w)
	}

	return pools
}

// takes reports whether a worker may be given work, also by its machine's upkeep.
func (s *Scheduler) takes(w *worker, now time.Time) bool {
	return w.usable(now) && s.upkeepOf(w) == nil
}

// usableOf returns the workers of some ids that may be given work, in order of their ids.
func (s *Scheduler) usableOf(ids []string, now time.Time) []*worker {
	found := make([]*worker, 0, len(ids))

	for _, id := range ids {
		if w, ok := s.workers[id]; ok && s.takes(w, now) {
			found = append(found, w)
		}
	}

	slices.SortFunc(found, byID)

	return found
}

func byID(a, b *worker) int {
	return strings.Compare(a.status.ID, b.status.ID)
}
