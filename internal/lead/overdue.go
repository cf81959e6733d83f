package lead

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// startOverdue starts the steps whose jobs have had nothing running for too long in any room that the order has left, also
// in headroom and in what is reserved, the longest idle first: one task of each, or its gang, if there is room for
// plan.RoomFactor times that. A step without room takes nothing from those after it. For a step that only lacks advice, the
// advisor is asked before all others.
func (s *Scheduler) startOverdue(candidates []*candidate, p *pass) []jobs.Command {
	var commands []jobs.Command

	for _, c := range overdueSteps(candidates, p) {
		if len(c.waiting)+len(c.withheld) > 0 && (c.step.LongRunning || !p.startedJobs[c.id.Job]) {
			commands = append(commands, s.startOne(c, p)...)
		}
	}

	return commands
}

// overdueSteps returns the steps whose jobs have had nothing running for over plan.MaxIdleWait, those beyond their tenants'
// shares last, and of each kind the longest idle first.
func overdueSteps(candidates []*candidate, p *pass) []*candidate {
	var overdue []*candidate

	for _, c := range candidates {
		if plan.Overdue(c.idleFor(p.now)) {
			overdue = append(overdue, c)
		}
	}

	slices.SortStableFunc(overdue, func(a, b *candidate) int {
		return cmp.Or(
			plan.CompareOwed(&a.urgency, &b.urgency),
			a.idleSince.Compare(b.idleSince),
			cmp.Compare(a.job.Sequence, b.job.Sequence),
		)
	})

	return overdue
}

// startOne places a task of an overdue step, or its gang, or has the advisor asked about it.
func (s *Scheduler) startOne(c *candidate, p *pass) []jobs.Command {
	if c.cutToRuns(); c.atLimit() {
		return nil
	}

	c.overdue = true
	defer func() { c.overdue = false }()

	s.awaitsIsolation(c, p) // A suspected task waits only so long for a worker of its own.

	if s.hasAllowedRoom(c, p) {
		if commands := s.placeTasks(c, c.together(), p); len(commands) > 0 || c.advice == nil {
			return commands
		}

		s.renewAdvice(c, p)

		return nil
	}

	if c.advice != nil && s.mayHaveRoom(c, p) {
		s.askAboutRoom(c, p)
	}

	return nil
}

// hasAllowedRoom reports whether the workers that the advisor is known to allow have room for plan.RoomFactor
// times what an overdue step starts.
func (s *Scheduler) hasAllowedRoom(c *candidate, p *pass) bool {
	needed := plan.RoomFactor * c.together()

	if c.advice != nil {
		return s.hasRoom(c, p, c.advice.allowed.word)
	}

	demand := c.roomDemand()
	if most, ok := p.withoutRoom[demand]; ok && needed >= most {
		return false
	}

	if s.hasRoom(c, p, func(int) uint64 { return math.MaxUint64 }) {
		return true
	}

	// The room of a long-running step with a limit for each worker also depends on its other tasks.
	if !c.step.LongRunning {
		p.withoutRoom[demand] = needed
	}

	return false
}

// mayHaveRoom reports whether there is such room on the workers that the advisor, as far as it was asked, has not refused.
func (s *Scheduler) mayHaveRoom(c *candidate, p *pass) bool {
	unknown := func(at int) uint64 { return ^c.advice.answered.word(at) }
	if !s.fitsOn(c, p, unknown) {
		return false
	}

	return s.hasRoom(c, p, func(at int) uint64 { return c.advice.allowed.word(at) | unknown(at) })
}

// fitsOn reports whether a task of the step fits on some worker of a set, which is given by its words.
func (s *Scheduler) fitsOn(c *candidate, p *pass, set func(at int) uint64) bool {
	return s.eachWithRoom(c, p.pool(c), set, func(*worker) bool { return false })
}

// hasRoom reports whether there is such room on the workers of a pool that are in a set, which is given by its words.
func (s *Scheduler) hasRoom(c *candidate, p *pass, set func(at int) uint64) bool {
	needed := plan.RoomFactor * c.together()

	return s.eachWithRoom(c, p.pool(c), set, func(w *worker) bool {
		s.examinedWorkers++

		if !c.compatible(w) || w.isolatingRuns > 0 || w.tried() && !w.proven(p.now) {
			return true
		}

		needed -= c.places(w, c.room(w))

		return needed > 0
	})
}

// eachWithRoom calls a function with each worker of a pool that is in a set, which is given by its words, and has room for a
// task of the step, until it returns false, and reports whether it did.
func (s *Scheduler) eachWithRoom(
	c *candidate, among *pool, set func(at int) uint64, do func(w *worker) bool,
) bool {
	members, perTask := among.members, c.step.Reserves()

	known := among.fittingFor(c, s.workersByIndex)
	if known != nil {
		members = known.free

		if known.count == 0 {
			return false
		}
	}

	visit := func(index int) bool {
		w := s.workersByIndex[index]
		if perTask.Fits(c.room(w)) {
			return do(w)
		}

		if known != nil {
			known.recheck(w)
		}

		return true
	}

	for at, word := range members {
		if word != 0 && !eachIndex(at, word&set(at), visit) {
			return true
		}
	}

	return false
}

// usableWorkers yields the workers of a pool that may have room for a task of the step.
func (s *Scheduler) usableWorkers(c *candidate, among *pool) iter.Seq[*worker] {
	if !c.overdue {
		return among.eachUnreserved(c, s.workersByIndex)
	}

	return among.eachOverdue(c)
}

// renewAdvice has the advisor asked for new tickets of workers with room that it is known to allow.
func (s *Scheduler) renewAdvice(c *candidate, p *pass) {
	if p.mayRequest(c) && s.reserveOn(c, c.together(), p, s.usableWorkers(c, p.pool(c)), c.allowsEver) {
		p.request(s.newAdviceRequest(c, p.nextAddress(), s.addUnknownWorkers(c, p)))
	}
}

// askAboutRoom has the advisor asked about workers with room that it was not asked about.
func (s *Scheduler) askAboutRoom(c *candidate, p *pass) {
	if !p.mayRequest(c) {
		return
	}

	names := s.adviceNames(c)
	c.adviceWanted = make([]string, 0, names)

	for w := range p.pool(c).eachOverdue(c) {
		if len(c.adviceWanted) == names {
			break
		}

		if c.compatible(w) && !c.advice.answered.has(w.index) {
			c.adviceWanted = append(c.adviceWanted, w.status.ID)
		}
	}

	p.request(s.newAdviceRequest(c, p.nextAddress(), s.addUnknownWorkers(c, p)))
}

// room returns the capacity of a worker that the step may use.
func (c *candidate) room(w *worker) mill.Resources {
	if c.overdue {
		return w.free()
	}

	return w.unreserved()
}

// places returns how many tasks of the step a worker may take in the given part of its capacity.
func (c *candidate) places(w *worker, free mill.Resources) int {
	places := c.step.Reserves().TimesIn(free)
	if c.step.MaxPerWorker > 0 {
		places = min(places, c.step.MaxPerWorker-w.countTasks(c.id))
	}

	return max(0, places)
}
