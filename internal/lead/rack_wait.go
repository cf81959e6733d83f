package lead

import (
	"math"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// rackWaits holds what the scheduler knows of steps that want a rack; its zero value is empty.
type rackWaits struct {
	steps   map[mill.StepID]*rackWait
	factors plan.FarFactors
	counts  RackCounts
	// decide replaces plan.RackWait.Decide in tests; nil for none.
	decide func(w *plan.RackWait, room time.Duration) plan.RackDecision
	// eventsFrom is when the current second for events began, and events how many there were in it.
	eventsFrom time.Time
	events     int
}

// rackWait is the last decision about a step that wants a rack.
type rackWait struct {
	// since is since when the step waits beside room elsewhere, or when it last got a place on the rack.
	since time.Time
	// decidedAt is when the decision was made: there was room elsewhere, or on the rack.
	decidedAt time.Time
	// tasks is the number of tasks that wait, and until when the first of them does at the most.
	tasks  int
	until  time.Time
	reason plan.RackReason
}

// The reasons to go elsewhere that plan.RackWait does not decide.
const (
	// rackFailed steps choose workers by where they have failed.
	rackFailed plan.RackReason = "failedBefore"
	// rackOverdue steps start in any room.
	rackOverdue plan.RackReason = "overdue"
)

// prefersRack reports whether the tasks of a step take longer off some rack.
func (c *candidate) prefersRack() bool {
	return !c.step.LongRunning && (c.step.DataRack != "" || c.step.SameRack && c.step.Gang)
}

// farFactor returns how many times as long runs of a queue take that are not on the rack that suits them; 1 while that is
// not known.
func (s *Scheduler) farFactor(queue string) float64 {
	if s.bounds.FarFactor == plan.LearnFarFactor {
		return s.racks.factors.Factor(queue)
	}

	return max(1, s.bounds.FarFactor)
}

// weighsRacks reports whether the deployment says that runs off their rack take longer, or wants that to be learned.
func (s *Scheduler) weighsRacks() bool {
	return s.bounds.FarFactor > 1 || s.bounds.FarFactor == plan.LearnFarFactor
}

// chooseByRack is chooseWorkers without the tasks that wait for the rack that suits them.
func (s *Scheduler) chooseByRack(
	c *candidate, count int, p *pass, filter func(w *worker) bool,
) (chosen []int, workers []*worker) {
	if s.stillWaits(c, count, p) {
		return s.chooseOnRack(c, count, p)
	}

	chosen, workers = s.chooseWorkers(c, count, p, filter)

	return s.holdForRack(c, chosen, count, workers, p), workers
}

// holdForRack takes those tasks out of a placement that wait for the rack that suits them, and returns the indexes of the
// others' workers. Without a factor it changes nothing.
func (s *Scheduler) holdForRack(c *candidate, chosen []int, count int, workers []*worker, p *pass) []int {
	if !s.weighsRacks() || !c.prefersRack() || len(chosen) == 0 || c.step.Gang && len(chosen) < count {
		return chosen
	}

	if s.farFactor(c.queue.Name) <= 1 {
		c.away = c.step.Gang && !c.suitsGang(chosen, workers) // Runs tell the factor while it is not known.

		return chosen
	}

	if c.step.Gang {
		return s.holdGang(c, chosen, workers, p)
	}

	return s.holdTasks(c, chosen, count, workers, p)
}

// decisionInterval is how long a decision that all waiting tasks of a step wait is kept: meanwhile plans look for them only
// on their rack. Looking at 1,100 workers for each of 200 steps at each plan takes over 10 ms.
const decisionInterval = 100 * time.Millisecond

// stillWaits reports whether the scheduler has just decided that all waiting tasks of a step wait for their rack.
func (s *Scheduler) stillWaits(c *candidate, count int, p *pass) bool {
	known, ok := s.racks.steps[c.id]

	return ok && known.tasks == count && !c.step.Gang && c.skipsRack() == "" && p.now.Before(known.until) &&
		p.now.Sub(known.decidedAt) < decisionInterval
}

// chooseOnRack is chooseWorkers for a step whose tasks still wait for their rack.
func (s *Scheduler) chooseOnRack(c *candidate, count int, p *pass) (chosen []int, workers []*worker) {
	valid := func(w *worker) bool {
		_, ok := c.allows(w.status.ID, p.now)

		return ok
	}
	described, workers := s.eligibleWorkers(
		c, slices.Values(p.rackWorkers(c, c.step.DataRack)), valid, math.MaxInt,
	)
	chosen = plan.PlaceTasks(described, c.demand(), count, s.placer, nil)

	known := s.racks.steps[c.id]
	c.heldForRack = count - len(chosen)
	s.claimRack(c, rackKey{service: c.queue.Service, rack: c.step.DataRack}, c.heldForRack, p)

	if len(chosen) > 0 {
		decidedAt := known.decidedAt
		s.noteRackDecision(c, rackOutcome{
			near: len(chosen), held: c.heldForRack,
			decision: plan.RackDecision{Wait: true, Reason: known.reason, For: known.until.Sub(p.now)},
		}, p)

		known.decidedAt = decidedAt
	}

	return chosen, workers
}

// holdTasks is holdForRack for tasks that start one by one.
func (s *Scheduler) holdTasks(c *candidate, chosen []int, count int, workers []*worker, p *pass) []int {
	if c.overdue {
		c.heldForRack = max(0, c.heldForRack-len(chosen))
		s.noteRackDecision(c, rackOutcome{
			away: len(chosen), held: c.heldForRack, decision: plan.RackDecision{Reason: rackOverdue},
		}, p)

		return chosen
	}

	near := 0

	for _, at := range chosen {
		if workers[at].status.Rack == c.step.DataRack {
			near++
		}
	}

	var decision plan.RackDecision

	held, away := 0, len(chosen)-near
	if rest := count - near; away > 0 {
		held, decision = s.tasksToHold(c, rest, near > 0, p)
		away = min(away, rest-held)
	}

	c.heldForRack = held
	s.noteRackDecision(c, rackOutcome{near: near, away: away, held: held, decision: decision}, p)

	return c.dropHeld(chosen, workers, away)
}

// dropHeld keeps the tasks of a placement that are near their data, and some of the others, and moves the rest behind them.
func (c *candidate) dropHeld(chosen []int, workers []*worker, away int) []int {
	kept := make([]int, 0, len(chosen))
	placed := make([]int, 0, len(c.waiting))

	var held []int

	for i, at := range chosen {
		isNear := workers[at].status.Rack == c.step.DataRack
		if !isNear && away == 0 {
			held = append(held, c.waiting[i])

			continue
		}

		if !isNear {
			away--
		}

		kept = append(kept, at)
		placed = append(placed, c.waiting[i])
	}

	c.waiting = slices.Concat(placed, held, c.waiting[len(chosen):])

	return kept
}

// tasksToHold returns how many of a number of tasks wait for their rack, and the decision for the first one that goes
// elsewhere, or for the first one if all wait. Of a job of which nothing runs, one task starts in time.
func (s *Scheduler) tasksToHold(c *candidate, rest int, starts bool, p *pass) (held int, decision plan.RackDecision) {
	if reason := c.skipsRack(); reason != "" {
		return 0, plan.RackDecision{Reason: reason}
	}

	line := s.rackLine(c, c.step.DataRack, p)
	wait := s.newRackWait(c, p)
	wait.Idles = wait.Idles && !starts
	decision = s.decideRack(&wait, line.expected(0, wait.RunTime))

	if !decision.Wait && decision.Reason != plan.RackIdle {
		return 0, decision
	}

	first := decision
	if first.Reason == plan.RackIdle {
		rest--
	}

	for wait.Idles = false; held < rest; held++ {
		if next := s.decideRack(&wait, line.expected(held, wait.RunTime)); !next.Wait {
			if first.Wait {
				decision = next
			}

			break
		}
	}

	s.claimRack(c, line.key, held, p)
	s.askAboutPlaces(c, &line, held, p)

	return held, decision
}

// holdGang is holdForRack for a gang, which has places now.
func (s *Scheduler) holdGang(c *candidate, chosen []int, workers []*worker, p *pass) []int {
	if c.away = !c.suitsGang(chosen, workers); c.away && c.step.DataRack != "" {
		if near := s.placeNear(c, len(chosen), workers); near != nil {
			chosen, c.away = near, false
		}
	}

	if !c.away {
		s.noteRackDecision(c, rackOutcome{near: len(chosen)}, p)

		return chosen
	}

	decision := plan.RackDecision{Reason: c.skipsRack()}
	if decision.Reason == "" {
		decision = s.decideGang(c, p)
	}

	if decision.Wait {
		c.heldForRack = len(c.waiting)
		s.noteRackDecision(c, rackOutcome{held: len(c.waiting), decision: decision}, p)

		return nil
	}

	s.noteRackDecision(c, rackOutcome{away: len(chosen), decision: decision}, p)

	return chosen
}

// suitsGang reports whether a gang runs at full speed on some workers.
func (c *candidate) suitsGang(chosen []int, workers []*worker) bool {
	rack := c.step.DataRack
	if rack == "" {
		rack = workers[chosen[0]].status.Rack
	}

	return !slices.ContainsFunc(chosen, func(at int) bool { return workers[at].status.Rack != rack })
}

// placeNear returns the workers for a gang on the rack with its data, or nil.
func (s *Scheduler) placeNear(c *candidate, count int, workers []*worker) []int {
	var (
		described []plan.CandidateWorker
		indexes   []int
	)

	for at, w := range workers {
		if w.status.Rack == c.step.DataRack {
			described = append(described, c.describe(w))
			indexes = append(indexes, at)
		}
	}

	chosen := plan.PlaceTasks(described, c.demand(), count, s.placer, nil)
	if len(chosen) < count {
		return nil
	}

	for i, at := range chosen {
		chosen[i] = indexes[at]
	}

	return chosen
}

// decideGang decides whether a gang waits for one rack: that with its data, or else the first one that has room for all of
// it. While it waits, steps that come later leave the room there alone.
func (s *Scheduler) decideGang(c *candidate, p *pass) plan.RackDecision {
	var best rackLine

	wait, room := s.newRackWait(c, p), plan.UnknownRoom

	for _, rack := range s.racksFor(c, p) {
		line := s.rackLine(c, rack, p)

		if last := line.ahead + len(c.waiting) - 1; last < len(line.places) &&
			(room == plan.UnknownRoom || line.places[last].In < room) {
			best, room = line, line.places[last].In
		}
	}

	decision := s.decideRack(&wait, room)
	if decision.Wait && room != plan.UnknownRoom {
		s.askAboutPlaces(c, &best, len(c.waiting), p)
		s.keepPlaces(c, &best, p)
		s.claimRack(c, best.key, len(c.waiting), p)
	}

	return decision
}

// racksFor returns the racks on which a gang runs at full speed.
func (s *Scheduler) racksFor(c *candidate, p *pass) []string {
	if c.step.DataRack != "" {
		return []string{c.step.DataRack}
	}

	var racks []string

	for _, w := range p.pool(c).workers {
		if !slices.Contains(racks, w.status.Rack) {
			racks = append(racks, w.status.Rack)
		}
	}

	return racks
}

// keepPlaces reserves the places that a gang waits for, as far as a pass reserves workers.
func (s *Scheduler) keepPlaces(c *candidate, line *rackLine, p *pass) {
	pool := p.pool(c)
	if len(c.waiting) > max(1, len(pool.workers)/reservedShare)-pool.reservedWorkers {
		return
	}

	pool.reservedWorkers += len(c.waiting)

	for _, place := range line.places[line.ahead : line.ahead+len(c.waiting)] {
		line.workers[place.Worker].reserve(c.step.Reserves())
	}
}

// skipsRack returns why no rack is waited for whatever that would save, or "".
func (c *candidate) skipsRack() plan.RackReason {
	switch {
	case c.overdue:
		return rackOverdue
	case c.suspected || c.hasFailed():
		return rackFailed
	default:
		return ""
	}
}

func (s *Scheduler) decideRack(wait *plan.RackWait, room time.Duration) plan.RackDecision {
	if s.racks.decide != nil {
		return s.racks.decide(wait, room)
	}

	return wait.Decide(room)
}

// newRackWait returns what decides whether tasks of a step wait.
func (s *Scheduler) newRackWait(c *candidate, p *pass) plan.RackWait {
	pool := p.pool(c)
	wait := plan.RackWait{
		Urgency:  &c.urgency,
		RunTime:  s.estimates.Correct(c.queue.Name, c.step.Estimate),
		Factor:   s.farFactor(c.queue.Name),
		Crowding: plan.Crowding(pool.free, pool.capacity),
		Idles:    !c.idleSince.IsZero(),
		Idle:     c.idleFor(p.now),
	}

	if known, ok := s.racks.steps[c.id]; ok && known.tasks > 0 && p.now.Sub(known.decidedAt) <= maxDecisionGap {
		wait.Waited = p.now.Sub(known.since)
	}

	return wait
}

// forgetRackWaits drops the decisions about steps of finished jobs.
func (s *Scheduler) forgetRackWaits(state *jobs.State) {
	for id := range s.racks.steps {
		if job, ok := state.Job(id.Job); !ok || job.Finished() {
			delete(s.racks.steps, id)
		}
	}
}
