package lead

import (
	"fmt"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// RackCounts counts, since the last call of TakeRackCounts, the tasks that wanted a rack.
type RackCounts struct {
	// Placed counts those that got a place there after a wait, and InVain those that waited and then went elsewhere.
	Placed int
	InVain int
	// Away counts all that went elsewhere, by reason.
	Away map[plan.RackReason]int
	// AwayCoreMilli is by how many core-milliseconds the runs that have ended took longer for that.
	AwayCoreMilli int64
}

// TakeRackCounts returns the counts since the last call.
func (s *Scheduler) TakeRackCounts() RackCounts {
	counts := s.racks.counts
	s.racks.counts = RackCounts{}

	return counts
}

// rackOutcome is what a plan has decided about the waiting tasks of a step: how many go to the rack, elsewhere, and wait.
type rackOutcome struct {
	near, away, held int
	decision         plan.RackDecision
}

// noteRackDecision counts and keeps a decision, and logs it if it has changed.
func (s *Scheduler) noteRackDecision(c *candidate, outcome rackOutcome, p *pass) {
	known, ok := s.racks.steps[c.id]
	if !ok {
		if s.racks.steps == nil {
			s.racks.steps = make(map[mill.StepID]*rackWait)
		}

		known = &rackWait{since: p.now}
		s.racks.steps[c.id] = known
	}

	s.racks.counts.add(known.tasks, &outcome)

	if outcome.near > 0 || known.tasks == 0 || p.now.Sub(known.decidedAt) > maxDecisionGap {
		known.since = p.now
	}

	known.decidedAt = p.now

	changed := known.tasks > 0 != (outcome.held > 0) || known.reason != outcome.decision.Reason
	known.tasks, known.reason = outcome.held, outcome.decision.Reason
	known.until = p.now.Add(outcome.decision.For)

	if changed && outcome.held+outcome.away > 0 {
		s.addRackEvent(c, &outcome, p.now)
	}
}

// maxDecisionGap is how long there may be no room elsewhere during a wait that goes on.
const maxDecisionGap = time.Second

// add counts what has become of tasks of a step, some of which have waited.
func (r *RackCounts) add(waited int, outcome *rackOutcome) {
	placed := min(waited, outcome.near)
	r.Placed += placed
	r.InVain += min(outcome.away, max(0, waited-placed-outcome.held))

	if outcome.away > 0 {
		if r.Away == nil {
			r.Away = make(map[plan.RackReason]int)
		}

		r.Away[outcome.decision.Reason] += outcome.away
	}
}

// maxRackEvents is how many decisions about racks are logged in a second: a burst brings one for each step.
const maxRackEvents = 20

func (s *Scheduler) addRackEvent(c *candidate, outcome *rackOutcome, now time.Time) {
	if now.Sub(s.racks.eventsFrom) >= time.Second {
		s.racks.eventsFrom, s.racks.events = now, 0
	}

	if s.racks.events >= maxRackEvents || len(s.events) >= maxEvents {
		return
	}

	s.racks.events++
	s.events = append(s.events, Event{
		Kind: EventRack, Task: c.id.Task(c.waiting[0]), Detail: fmt.Sprintf("rack %q, reason %s: %d there, %d elsewhere, %d wait",
			c.step.DataRack, outcome.decision.Reason, outcome.near, outcome.away, outcome.held),
	})
}
