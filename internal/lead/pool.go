package lead

import (
	"iter"
	"strings"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// pass holds what one planning pass over all candidate steps needs.
type pass struct {
	now       time.Time
	wallMilli int64
	state     *jobs.State
	// findPools returns the pools by service; it is called once a step waits.
	findPools func() map[string]*pool
	pools     map[string]*pool
	// lastPool is the pool that was asked for last, of lastService.
	lastPool    *pool
	lastService string
	// idleAddresses are the addresses through which the advisor can be asked now.
	idleAddresses []string
	// requests are the requests for advice that the pass sends, each through the next idle address, and keptAddresses how many
	// of these are kept free for quick requests.
	requests      []AdviceRequest
	keptAddresses int
	// reservationsLeft limits the further steps for which the pass looks for capacity to reserve
	// while the advisor is asked.
	reservationsLeft int
	// startedJobs holds the jobs of the overdue steps that the pass has started.
	startedJobs map[string]bool
	// withoutRoom holds the demands of overdue steps without advice for which the pass has found no room, with the least
	// number of tasks for which that is so: capacity only shrinks during a pass.
	withoutRoom map[roomDemand]int
	// withoutPlace holds the demands of steps without advice for which no worker has room for a task.
	withoutPlace map[roomDemand]bool
	// victims holds the urgency of the steps whose runs were considered for preemption.
	victims map[mill.StepID]plan.Urgency
	racks   rackPass
}

// newPass returns a pass in which no capacity is reserved and no advice is requested yet.
func (s *Scheduler) newPass(now time.Time, wallMilli int64, state *jobs.State) *pass {
	addresses := s.idleAdvisorAddresses(now)

	return &pass{
		now:              now,
		wallMilli:        wallMilli,
		state:            state,
		findPools:        func() map[string]*pool { return s.pools(now) },
		idleAddresses:    addresses,
		reservationsLeft: len(addresses) + extraReservations,
		keptAddresses:    len(s.advisorAddresses) / quickAddressShare,
		startedJobs:      make(map[string]bool),
		withoutRoom:      make(map[roomDemand]int),
		withoutPlace:     make(map[roomDemand]bool),
		victims:          make(map[mill.StepID]plan.Urgency),
	}
}

// idleAddressesLeft returns how many addresses of the advisor have no request yet.
func (p *pass) idleAddressesLeft() int {
	return len(p.idleAddresses) - len(p.requests)
}

// mayRequest reports whether the advisor may be asked about a step now: no request for it is outstanding, and an address is
// left.
func (p *pass) mayRequest(c *candidate) bool {
	left := p.idleAddressesLeft()

	return left > 0 && c.canRequestAdvice(p.now) && (left > p.keptAddresses || c.hasQuickAdvice())
}

// nextAddress returns the address for the next request.
func (p *pass) nextAddress() string {
	return p.idleAddresses[len(p.requests)]
}

// request adds a request through the next address.
func (p *pass) request(request AdviceRequest) {
	p.requests = append(p.requests, request)
}

// pool is the workers of one service that accept new work.
type pool struct {
	// workers are sorted by id, so that plans are deterministic.
	workers []*worker
	// byMilliCores and byAccelerators hold the workers by free capacity; nil until they are needed.
	byMilliCores   *freeWorkers
	byAccelerators *freeWorkers
	// maxFree is the highest free capacity of any worker, and minCapacity the lowest total capacity
	// of any, in each dimension separately.
	maxFree     mill.Resources
	minCapacity mill.Resources
	// free is the free capacity of all workers together, and capacity their total.
	free     mill.Resources
	capacity mill.Resources
	// reserved is what the pass reserves of the free capacity.
	reserved mill.Resources
	// reservedWorkers counts the workers that this pass reserves for large tasks, and reservationSearches the steps for which
	// it has looked for such workers.
	reservedWorkers     int
	reservationSearches int
	// fittings holds which workers have room, by what a task reserves.
	fittings map[mill.Resources]*fitting
	// lastFitting is the one that was asked for last.
	lastFitting *fitting
	// quarantined are workers that only overdue steps may try.
	quarantined []*worker
	// members holds the workers and the quarantined ones.
	members workerSet
	// isolatingWorkers counts the workers with a suspected task that take no other new runs.
	isolatingWorkers int
}

// emptyPool is the pool of a service without workers.
var emptyPool = &pool{}

// pool returns the workers for a step.
func (p *pass) pool(c *candidate) *pool {
	if p.lastPool != nil && p.lastService == c.queue.Service {
		return p.lastPool
	}

	found, ok := p.poolsByService()[c.queue.Service]
	if !ok {
		found = emptyPool
	}

	p.lastPool, p.lastService = found, c.queue.Service

	return found
}

func (p *pass) poolsByService() map[string]*pool {
	if p.pools == nil {
		p.pools = p.findPools()
	}

	return p.pools
}

func (p *pool) add(w *worker) {
	free, capacity := w.free(), w.status.Capacity

	p.maxFree.MilliCores = max(p.maxFree.MilliCores, free.MilliCores)
	p.maxFree.MemoryMiB = max(p.maxFree.MemoryMiB, free.MemoryMiB)
	p.maxFree.Accelerators = max(p.maxFree.Accelerators, free.Accelerators)

	if len(p.workers) == 0 {
		p.minCapacity = capacity
	}

	p.minCapacity.MilliCores = min(p.minCapacity.MilliCores, capacity.MilliCores)
	p.minCapacity.MemoryMiB = min(p.minCapacity.MemoryMiB, capacity.MemoryMiB)
	p.minCapacity.Accelerators = min(p.minCapacity.Accelerators, capacity.Accelerators)

	if w.isolatingRuns > 0 {
		p.isolatingWorkers++
	}

	p.free = p.free.Add(free)
	p.capacity = p.capacity.Add(capacity)
	p.workers = append(p.workers, w)
}

// byFreeCapacity returns the workers sorted by what was free, of what a step needs, when the pass began.
func (p *pool) byFreeCapacity(c *candidate) *freeWorkers {
	if c.step.Reserves().Accelerators > 0 {
		if p.byAccelerators == nil {
			p.byAccelerators = newFreeWorkers(p.workers, accelerators)
		}

		return p.byAccelerators
	}

	if p.byMilliCores == nil {
		p.byMilliCores = newFreeWorkers(p.workers, milliCores)
	}

	return p.byMilliCores
}

// eachUnreserved yields the workers that may have unreserved capacity for a task of the step and that the advisor may allow,
// those with the most when the pass began first. All workers are given by index.
func (p *pool) eachUnreserved(c *candidate, workers []*worker) iter.Seq[*worker] {
	if len(p.workers) == 0 {
		return func(func(w *worker) bool) {}
	}

	if known := p.fittingFor(c, workers); known != nil {
		return known.eachUnreserved(p.byFreeCapacity(c), c.advice)
	}

	return p.byFreeCapacity(c).eachFitting(c.step.Reserves())
}

// eachFitting yields the workers that had the capacity for a task of the step when the pass began, those with the most
// first.
func (p *pool) eachFitting(c *candidate) iter.Seq[*worker] {
	if len(p.workers) == 0 {
		return func(func(w *worker) bool) {}
	}

	return p.byFreeCapacity(c).eachFitting(c.step.Reserves())
}

// eachOverdue yields the workers that an overdue step may use: those that eachFitting yields, and then quarantined ones.
func (p *pool) eachOverdue(c *candidate) iter.Seq[*worker] {
	return func(yield func(w *worker) bool) {
		for w := range p.eachFitting(c) {
			if !yield(w) {
				return
			}
		}

		for _, w := range p.quarantined {
			if c.step.Reserves().Fits(w.free()) && !yield(w) {
				return
			}
		}
	}
}

// mostFreeIDs returns the ids of those workers with the most free capacity that could run the step if they were empty and
// that pass the filter, at most as many as the limit; a nil filter passes all.
func (p *pool) mostFreeIDs(c *candidate, limit int, filter func(w *worker) bool) []string {
	if len(p.workers) == 0 {
		return nil
	}

	ids := make([]string, 0, limit)
	entries := p.byFreeCapacity(c).entries

	for i := range entries {
		if len(ids) == limit {
			break
		}

		if w := entries[i].worker; c.compatible(w) && (filter == nil || filter(w)) {
			ids = append(ids, w.status.ID)
		}
	}

	return ids
}

// allocate deducts a task's resources from the pool's free capacity.
func (p *pool) allocate(perTask mill.Resources) {
	p.free = p.free.Sub(perTask)
}

// reserve records that the pass reserves capacity for tasks of a step, which count against the limit of its tenant too.
func (p *pool) reserve(c *candidate, tasks int) {
	p.reserved = p.reserved.Add(c.step.Reserves().Times(tasks))

	if c.tenant != nil {
		c.tenant.reserved = c.tenant.reserved.Add(c.step.PerTask.Times(tasks))
	}
}

// mayFit reports whether a task of the step could fit on some worker. It is a cheap necessary
// condition: in a full pool it saves checking each worker for each of hundreds of waiting steps.
func (p *pass) mayFit(c *candidate) bool {
	return c.step.Reserves().Fits(p.pool(c).maxFree)
}

// pools returns the workers that accept new work, by service, and clears the reservations of the
// previous pass.
func (s *Scheduler) pools(now time.Time) map[string]*pool {
	pools := make(map[string]*pool)

	s.examinedWorkers += len(s.workers)

	for _, w := range s.workersByID() {
		if !s.acceptsOverdue(w, now) {
			continue
		}

		w.reserved = mill.Resources{}

		found, ok := pools[w.status.Service]
		if !ok {
			found = &pool{}
			pools[w.status.Service] = found
		}

		found.members.add(w.index)

		if w.health.Schedulable(now) {
			found.add(w)
		} else {
			found.quarantined = append(found.quarantined, w)
		}
	}

	return pools
}

// acceptsWork reports whether a worker may be given new work: it is usable, it has capacity, how much of it is free is
// known, and its machine is not being drained for maintenance.
func (s *Scheduler) acceptsWork(w *worker, now time.Time) bool {
	return w.health.Schedulable(now) && s.acceptsOverdue(w, now)
}

// acceptsOverdue reports whether a worker may be given work of an overdue step: also one that is quarantined, now and then.
func (s *Scheduler) acceptsOverdue(w *worker, now time.Time) bool {
	return w.answers(now) && (w.health.Schedulable(now) || w.health.MayTry(now)) && w.status.Capacity.Valid() &&
		s.capacityKnown(w, now) && s.maintenanceOf(w) == nil
}

// capacityKnown reports whether the worker's status is recent enough to rely on its capacity, which may shrink, and
// what takes it is known. Answers to orders do not tell the capacity.
func (s *Scheduler) capacityKnown(w *worker, now time.Time) bool {
	return !w.hasUnknownRuns && now.Sub(w.statusSentAt) < s.bounds.statusValidity()
}

// acceptingWorkers returns the workers with the given ids that accept new work of a step.
func (s *Scheduler) acceptingWorkers(c *candidate, ids []string, now time.Time) []*worker {
	found := make([]*worker, 0, len(ids))
	s.examinedWorkers += len(ids)

	for _, id := range ids {
		if w, ok := s.workers[id]; ok && (s.acceptsWork(w, now) || c.overdue && s.acceptsOverdue(w, now)) {
			found = append(found, w)
		}
	}

	return found
}

func byID(a, b *worker) int {
	return strings.Compare(a.status.ID, b.status.ID)
}
