package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// standstillTime is how long the platform lets a job have nothing running beside room for it.
	standstillTime = 3 * time.Second
	// maxStandstillLines bounds the jobs that one summary describes.
	maxStandstillLines = 8
)

// StandstillReason is why a step does not start beside room for it.
type StandstillReason string

// The reasons, in the order in which they are looked for.
const (
	// StandstillRuns means that the job counts as running for runs that may be active, none of which is known to be.
	StandstillRuns StandstillReason = "runsNotKnown"
	// StandstillWithheld means that the room is on workers that take no work: in quarantine, on probation with a task, beside
	// an isolated run, or with a status that is out of date.
	StandstillWithheld StandstillReason = "workersWithheld"
	// StandstillAsking means that a request for advice is outstanding.
	StandstillAsking StandstillReason = "adviceAsked"
	// StandstillNotAsked means that the advisor has answered nothing about the step.
	StandstillNotAsked StandstillReason = "adviceMissing"
	// StandstillExpired means that no worker with room has a valid ticket.
	StandstillExpired StandstillReason = "ticketsExpired"
	// StandstillHeldBack means that the step is left out of the plan while its pool is nearly full.
	StandstillHeldBack StandstillReason = "heldBack"
	// StandstillReserved means that the room is reserved for other steps.
	StandstillReserved StandstillReason = "reserved"
	// StandstillUnplanned means that nothing of that is so.
	StandstillUnplanned StandstillReason = "unplanned"
)

// Standstill describes a step whose job has had nothing running for standstillTime beside room for it, for logs.
type Standstill struct {
	Step   mill.StepID
	Queue  string
	Reason StandstillReason
	// Idle is for how long nothing of the job has run.
	Idle time.Duration
	// Together is how many tasks of the step start together, Places how many have room on the workers that may run them, as far
	// as that was counted, and Workers the number of these workers.
	Together int
	Places   int
	Workers  int
	// Placed counts the runs of the job that may be active.
	Placed int
	// Asked and Allowed count the workers that the advisor has answered for, and those that it allows.
	Asked   int
	Allowed int
}

// standstills finds the jobs that stand still beside room for them; its zero value is ready for use.
type standstills struct {
	// since holds since when steps whose jobs are idle have had room each time that it was looked for, and described
	// those of them that were.
	since     map[mill.StepID]time.Time
	described map[mill.StepID]bool
}

// update looks for the jobs that stand still among the candidates of the last plan. It returns their number, and
// describes at most maxStandstillLines of those that were not described before.
func (f *standstills) update(s *Scheduler, now time.Time) (count int, found []Standstill) {
	since := make(map[mill.StepID]time.Time, len(f.since))
	described := make(map[mill.StepID]bool, len(f.described))
	standing := make(map[string]bool)

	for _, c := range s.lastCandidates {
		if s.idleFor(c, now) <= plan.MaxIdleWait {
			continue
		}

		room := s.findRoom(c, now)
		if room.places < plan.RoomFactor*c.together() {
			continue
		}

		since[c.id] = now
		if earlier, ok := f.since[c.id]; ok {
			since[c.id] = earlier
		}

		if now.Sub(since[c.id]) < standstillTime {
			continue
		}

		standing[c.id.Job] = true

		if described[c.id] = f.described[c.id]; !described[c.id] && len(found) < maxStandstillLines {
			described[c.id] = true
			found = append(found, s.describeStandstill(c, &room, now))
		}
	}

	f.since, f.described = since, described

	return len(standing), found
}

// room is where a step could run, as far as the advisor was asked.
type room struct {
	places  int
	workers int
	// accepting counts the places on workers that take work, unreserved those of them that no step has reserved, and ticketed
	// those on workers with a valid ticket.
	accepting  int
	unreserved int
	ticketed   int
}

// findRoom looks for room for a step on all workers that run tasks, also on those that take none for now. It stops once
// there is room enough of each kind.
func (s *Scheduler) findRoom(c *candidate, now time.Time) room {
	var found room

	perTask := c.step.Reserves()
	enough := plan.RoomFactor * c.together()

	for _, w := range s.workersByID() {
		if !perTask.Fits(w.free()) || !c.compatible(w) || !s.runsTasks(w, now) || !s.mayBeAllowed(c, w) {
			continue
		}

		places := c.places(w, w.free())
		found.places += places
		found.workers++

		if !s.acceptsWork(w, now) || w.isolatingRuns > 0 || w.tried() {
			continue
		}

		found.accepting += places
		found.unreserved += c.places(w, w.unreserved())

		if _, valid := c.allows(w.status.ID, now); valid {
			found.ticketed += places
		}

		if found.unreserved >= enough && found.ticketed >= enough {
			break
		}
	}

	return found
}

// runsTasks reports whether a worker answers and is not about to end, whether or not it is given work.
func (s *Scheduler) runsTasks(w *worker, now time.Time) bool {
	return !w.gone && !w.leaving && !w.status.Draining && w.failedRenewals == 0 && !w.lastHeard.IsZero() &&
		now.Sub(w.lastHeard) < reportTimeout && w.status.Capacity.Valid() && s.maintenanceOf(w) == nil
}

// mayBeAllowed reports whether the advisor allows a worker, or has not answered anything about the step.
func (s *Scheduler) mayBeAllowed(c *candidate, w *worker) bool {
	allowed, _ := c.allows(w.status.ID, s.termStart)

	return allowed || len(c.advice.answeredFor) == 0
}

// together returns how many tasks of the step start together.
func (c *candidate) together() int {
	if c.step.Gang {
		return c.step.Count
	}

	return 1
}

func (s *Scheduler) describeStandstill(c *candidate, found *room, now time.Time) Standstill {
	described := Standstill{
		Step: c.id, Queue: c.queue.Name, Reason: s.standstillReason(c, found), Idle: s.idleFor(c, now),
		Together: c.together(), Places: found.places, Workers: found.workers, Placed: c.job.Placed,
	}

	if c.advice != nil {
		described.Asked, described.Allowed = len(c.advice.answeredFor), len(c.advice.tickets)
	}

	return described
}

func (*Scheduler) standstillReason(c *candidate, found *room) StandstillReason {
	needed := plan.RoomFactor * c.together()

	switch {
	case c.job.Placed > 0 && !c.step.LongRunning:
		return StandstillRuns
	case found.accepting < needed:
		return StandstillWithheld
	case c.advice != nil && c.advice.requestPending:
		return StandstillAsking
	case c.advice != nil && len(c.advice.answeredFor) == 0:
		return StandstillNotAsked
	case found.ticketed < needed:
		return StandstillExpired
	case c.heldBack:
		return StandstillHeldBack
	case found.unreserved < needed:
		return StandstillReserved
	default:
		return StandstillUnplanned
	}
}

// idleFor returns for how long nothing of the step's job has run while the step could.
func (s *Scheduler) idleFor(c *candidate, now time.Time) time.Duration {
	since, ok := s.idleSince[c.id]
	if !ok {
		return 0
	}

	return now.Sub(since)
}

// recordIdle notes since when the jobs of the candidates have nothing running.
func (s *Scheduler) recordIdle(candidates []*candidate, now time.Time) {
	idleSince := make(map[mill.StepID]time.Time, len(s.idleSince))

	for _, c := range candidates {
		if _, ok := idleSince[c.id]; ok || !s.nothingRuns(c) {
			continue
		}

		idleSince[c.id] = now
		if since, ok := s.idleSince[c.id]; ok {
			idleSince[c.id] = since
		}
	}

	s.idleSince = idleSince
	s.lastCandidates = candidates
}

// nothingRuns reports whether no run of the step's job is at work or on its way to a worker, as far as this leader knows.
// The tasks of a long-running step count each for itself.
func (s *Scheduler) nothingRuns(c *candidate) bool {
	if c.step.LongRunning {
		return true
	}

	if c.beingPlaced {
		return false
	}

	if c.job.Placed == 0 {
		return true
	}

	for number, occurrence := range c.job.Occurrences {
		for index := range occurrence.Steps {
			if s.anyRuns(mill.StepID{Job: c.job.ID, Occurrence: number, Step: index}, &occurrence.Steps[index]) {
				return false
			}
		}
	}

	return true
}

// anyRuns reports whether a placed task of a step is at work.
func (s *Scheduler) anyRuns(id mill.StepID, step *jobs.Step) bool {
	if step.Placed == 0 {
		return false
	}

	for at := range step.Tasks {
		if step.Tasks[at].Phase != jobs.TaskPlaced {
			continue
		}

		if r, ok := s.runs[id.Task(at)]; ok && r.atWork() {
			return true
		}
	}

	return false
}
