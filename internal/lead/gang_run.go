package lead

import (
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// gangVerdictDelay bounds how long the evidence of a gang's failed run waits for the ends of the other members: the time in
// which workers that answer stop them and list their ends. A member that fails later adds nothing to it.
const gangVerdictDelay = time.Second

// gangRun is what the members of one run of a gang share. They work only together, so that they succeed or fail once.
type gangRun struct {
	step    mill.StepID
	members int
	queue   string
	// attempt decides how the members' ends are committed.
	attempt *jobs.GangRun
	// slownesses holds what is known of the speed of each member's worker.
	slownesses []*plan.Slowness
	// failedBefore says that an earlier run of the gang has failed.
	failedBefore bool
	// done says that a member has completed the run.
	done bool
	// ended says that a member has ended the run by itself, so that the others may have ended though no worker has crashed.
	ended bool
	// failedAt is when the first member has failed; zero if none has.
	failedAt time.Time
	failure  plan.GangFailure
}

// joinGang has a run share a gangRun with the other members of its gang.
func (s *Scheduler) joinGang(r *run, job *jobs.Job, state *jobs.Step) {
	r.gang = s.findGangRun(r.task.StepID, r.step.Count, r.number)

	if r.gang == nil {
		r.gang = &gangRun{
			step: r.task.StepID, members: r.step.Count, queue: r.queue,
			attempt:      jobs.NewGangRun(job, r.task.StepID, r.number),
			failedBefore: slices.ContainsFunc(state.Tasks, func(t jobs.Task) bool { return t.HasFailed() }),
		}
	}

	r.gang.slownesses = append(r.gang.slownesses, &r.worker.slowness)
}

// inheritEnding takes over the run of a gang's member that may be active though another member's end has completed the gang.
func (s *Scheduler) inheritEnding(ending *jobs.EndingRun) {
	r := &run{
		task:     ending.Task,
		number:   ending.Run,
		worker:   s.worker(ending.Worker),
		queue:    ending.Queue,
		tenant:   ending.Tenant,
		step:     &ending.Step,
		reserves: ending.Step.Reserves(),
		phase:    runInherited,
		gang:     s.findGangRun(ending.Task.StepID, ending.Step.Count, ending.Run),
	}

	if r.gang == nil {
		r.gang = &gangRun{
			step: r.task.StepID, members: r.step.Count, queue: r.queue, attempt: &jobs.GangRun{}, done: true,
		}
	}

	r.worker.mayHoldInherited = true
	s.addRun(r)
}

// findGangRun returns what the known members of a gang's run share; nil if none is known.
func (s *Scheduler) findGangRun(step mill.StepID, members, number int) *gangRun {
	for index := range members {
		if member, ok := s.runs[step.Task(index)]; ok && member.number == number {
			return member.gang
		}
	}

	return nil
}

// gangMemberFailed records a member of a gang that has failed. The run is recorded as evidence later, with the members that
// fail until then.
func (s *Scheduler) gangMemberFailed(r *run, now time.Time) {
	if r.gang.failedAt.IsZero() {
		r.gang.failedAt = now
		s.failedGangs = append(s.failedGangs, r.gang)
	}

	r.gang.failure.Add(&r.worker.health)
}

// recordFailedGangs records the failed runs of gangs as evidence, of which all members have ended or should have been heard
// of.
func (s *Scheduler) recordFailedGangs(now time.Time) {
	s.failedGangs = slices.DeleteFunc(s.failedGangs, func(g *gangRun) bool {
		if now.Sub(g.failedAt) < gangVerdictDelay && s.hasActiveMember(g) {
			return false
		}

		if g.done {
			return true // A run that one member has completed is complete for all.
		}

		// A gang that has failed before, probably elsewhere, says nothing about these workers.
		if !g.failedBefore {
			g.failure.Accuse(g.step.Job, s.failureRates.FailureWeight(g.queue), now)
		}

		s.failureRates.Record(g.queue, true)

		return true
	})
}

// hasActiveMember reports whether a member of a gang's run may be active.
func (s *Scheduler) hasActiveMember(g *gangRun) bool {
	for index := range g.members {
		if member, ok := s.runs[g.step.Task(index)]; ok && member.gang == g && member.cause == "" {
			return true
		}
	}

	return false
}
