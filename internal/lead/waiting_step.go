package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// minLoggedWait is how long a step must wait to be described: a request for advice takes about as long.
const minLoggedWait = 2 * time.Second

// WaitReason is why a step waits beside room for it.
type WaitReason string

// WaitTenantLimit means that the limit of the job's tenant lets no task of the step start.
const WaitTenantLimit WaitReason = "tenantLimit"

// WaitingStep describes why a step waits, for logs.
type WaitingStep struct {
	Step  mill.StepID
	Queue string
	Wait  time.Duration
	// Tenant is the tenant of the step's job; "" for none. Reason is empty if the other fields say why the step waits.
	Tenant string
	Reason WaitReason
	// Tasks is the number of tasks that wait, and Gang says that they must start together.
	Tasks int
	Gang  bool
	// Asked counts the workers for which the advisor has answered, and Allowed those that it allows; both are 0 for a queue
	// without an advisor.
	Asked   int
	Allowed int
	// Fitting counts the allowed workers that accept work and have room for a task, OnProbation those of them that take
	// none because they are on probation and have one, and Failed those on which a waiting task has failed.
	Fitting     int
	OnProbation int
	Failed      int
	// Reserved counts the fitting workers whose room is reserved for steps that come first, and HeldBack says that the step
	// is deferrable and left out while the pool is nearly full.
	Reserved int
	HeldBack bool
	// WaitForRack counts the tasks that wait for a rack beside room elsewhere, Rack is the rack with their data, "" for any
	// one rack, and RackReason says why they do so, or why others don't.
	WaitForRack int
	Rack        string
	RackReason  string
}

// recordWaits notes since when each step waits.
func (s *Scheduler) recordWaits(candidates []*candidate, now time.Time) {
	var longest time.Time

	waits := emptied(s.spareWaits)
	s.longestWait = nil

	for _, c := range candidates {
		if len(c.waiting)+len(c.withheld) == 0 {
			continue
		}

		since, ok := s.waits[c.id]
		if !ok {
			since = now
		}

		waits[c.id] = since

		if s.longestWait == nil || since.Before(longest) {
			s.longestWait, longest = c, since
		}
	}

	s.waits, s.spareWaits = waits, s.waits
}

// waitOf returns for how long a step has waited.
func (s *Scheduler) waitOf(c *candidate, now time.Time) time.Duration {
	since, ok := s.waits[c.id]
	if !ok {
		return 0
	}

	return now.Sub(since)
}

// describeLongestWait describes the step that waited for the longest time at the last plan, if it did so for minLoggedWait.
func (s *Scheduler) describeLongestWait(now time.Time) WaitingStep {
	c := s.longestWait
	if c == nil || s.waitOf(c, now) < minLoggedWait {
		return WaitingStep{}
	}

	w := WaitingStep{
		Step: c.id, Queue: c.queue.Name, Tenant: c.job.Tenant, Wait: s.waitOf(c, now),
		Tasks: len(c.waiting) + len(c.withheld), Gang: c.step.Gang, HeldBack: c.heldBack,
		WaitForRack: c.heldForRack, Rack: c.step.DataRack,
	}

	if c.atLimit() {
		w.Reason = WaitTenantLimit
	}

	if known, ok := s.racks.steps[c.id]; ok {
		w.RackReason = string(known.reason)
	}

	if c.advice != nil {
		w.Asked, w.Allowed = len(c.advice.answeredFor), len(c.advice.tickets)
	}

	for _, known := range s.workersByID() {
		if allowed, _ := c.allows(known.status.ID, now); allowed && s.acceptsWork(known, now) && c.compatible(known) &&
			c.step.Reserves().Fits(known.free()) {
			w.countFitting(c, known)
		}
	}

	return w
}

func (w *WaitingStep) countFitting(c *candidate, known *worker) {
	w.Fitting++

	if known.tried() {
		w.OnProbation++
	}

	if c.failedOn(known.status.ID) {
		w.Failed++
	}

	if !c.step.Reserves().Fits(known.unreserved()) {
		w.Reserved++
	}
}
