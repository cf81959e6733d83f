package lead

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
)

// extraReservations is for how many steps, beyond those that the advisor can be asked about at once,
// the pass looks for capacity. Their requests are sent while the next plan is made.
const extraReservations = 8

// reserveForAdvice reserves capacity for a step that could run if the advisor allows it, so that
// later steps don't use it during the request, and chooses the workers to ask about. Workers that the
// advisor is known to allow are preferred if they suffice: for them the answer is certain.
//
// When far more steps wait than the advisor can be asked about, looking for capacity for all of them
// would use up the process's CPU time, so only those whose request is due soon are considered.
func (s *Scheduler) reserveForAdvice(c *candidate, p *pass) {
	if !c.advice.requestPending && !p.takeReservation(c) {
		return
	}

	allowed, targets := s.adviceTargets(c, p)
	count := len(c.waiting)

	if s.reserveOn(c, count, p, allowed, func(w *worker) bool { return c.ticketRenewable(w, p.now) }) {
		return
	}

	s.reserveOn(c, count, p, targets, func(w *worker) bool { return c.notRefused(w, p.now) })
}

// takeReservation reports whether the pass may look for capacity for a step before the advisor is asked about it. Steps with
// quick advice don't count: behind a backlog of others they would wait until they are overdue, although some addresses are
// kept free for them.
func (p *pass) takeReservation(c *candidate) bool {
	if !c.canRequestAdvice(p.now) {
		return false
	}

	if c.hasQuickAdvice() {
		return true
	}

	p.reservationsLeft--

	return p.reservationsLeft >= 0
}

// reserveOn reserves capacity for a number of tasks on those workers that pass the filter, and reports whether the step
// fits on them.
func (s *Scheduler) reserveOn(
	c *candidate, count int, p *pass, among iter.Seq[*worker], filter func(w *worker) bool,
) bool {
	described, workers := s.eligibleWorkers(c, among, filter, c.reservationWidth(s.adviceNames(c)))

	chosen := plan.PlaceTasks(described, c.demand(), count, s.placer, nil)
	if len(chosen) == 0 || (c.step.Gang && len(chosen) < count) {
		return false
	}

	for _, at := range chosen {
		workers[at].reserve(c.step.Reserves())
	}

	p.pool(c).reserve(c, len(chosen))

	c.adviceWanted = make([]string, 0, len(workers))
	for _, w := range workers[:min(len(workers), s.adviceNames(c))] {
		c.adviceWanted = append(c.adviceWanted, w.status.ID)
	}

	return true
}

// reservationWidth returns on how many workers a reservation for a step is looked for at the most: on those that a request
// names, or on all if the place of the tasks matters.
func (c *candidate) reservationWidth(names int) int {
	if c.step.SameRack || c.step.DataRack != "" {
		return math.MaxInt
	}

	return names
}

// adviceTargets returns the workers on which capacity may be reserved, those named in the outstanding request, or else the
// whole pool, and among them those that the advisor is known to allow, and perhaps others.
func (s *Scheduler) adviceTargets(c *candidate, p *pass) (allowed, targets iter.Seq[*worker]) {
	if c.advice.requestPending {
		targets = slices.Values(s.acceptingWorkers(c, c.advice.requested, p.now))

		return targets, targets
	}

	pool := p.pool(c)
	targets = pool.eachUnreserved(c, s.workersByIndex)

	known := pool.fittingFor(c, s.workersByIndex)
	if known == nil || c.advice.unlisted || len(pool.workers) == 0 {
		return targets, targets
	}

	return slices.Values(known.among(pool.byFreeCapacity(c), c.advice.allowed)), targets
}

// ticketRenewable reports whether the advisor is known to allow the worker, so that only its ticket
// has to be renewed. A gang's tickets have to be valid for all members at once, so for a gang valid
// tickets are renewed too.
func (c *candidate) ticketRenewable(w *worker, now time.Time) bool {
	allowed, valid := c.allowsOn(w, now)

	return allowed && (!valid || c.step.Gang)
}

// notRefused reports whether the advisor, as far as it was asked, has not refused the worker.
// Workers in an outstanding request count as not refused.
func (c *candidate) notRefused(w *worker, now time.Time) bool {
	if c.advice.requestPending || c.ticketRenewable(w, now) {
		return true
	}

	allowed, _ := c.allowsOn(w, now)

	return !allowed && !c.advice.answered.has(w.index)
}
