package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// standstillTime is how long the platform lets a job have nothing running beside room for it.
const standstillTime = 3 * time.Second

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

func (s *Scheduler) describeStandstill(c *candidate, found *room, now time.Time) Standstill {
	described := Standstill{
		Step: c.id, Queue: c.queue.Name, Reason: s.standstillReason(c, found), Idle: c.idleFor(now),
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
