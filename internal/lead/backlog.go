package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// candidates returns the steps that have tasks to place, in order of precedence, and drops what is kept
// about the steps of finished jobs.
func (s *Scheduler) candidates(wallMilli int64, state *jobs.State) []*candidate {
	s.memory.begin()

	found := make([]*candidate, 0, len(s.lastCandidates))

	for _, job := range state.OpenJobs() {
		if job.Finished() {
			continue
		}

		found = s.appendCandidates(found, job, wallMilli, state.SetupIndex())
	}

	for id := range s.advice {
		if job, ok := state.Job(id.Job); !ok || job.Finished() {
			delete(s.advice, id)
		}
	}

	for id := range s.waitingSinceFailure {
		if job, ok := state.Job(id.Job); !ok || job.Finished() {
			delete(s.waitingSinceFailure, id)
		}
	}

	for id := range s.crashPauses {
		if job, ok := state.Job(id.Job); !ok || job.Finished() {
			delete(s.crashPauses, id)
		}
	}

	s.forgetRackWaits(state)
	plan.SortByUrgency(found, func(c *candidate) *plan.Urgency { return &c.urgency })

	return found
}

func (s *Scheduler) appendCandidates(
	found []*candidate, job *jobs.Job, wallMilli int64, setup *mill.SetupIndex,
) []*candidate {
	for number, occurrence := range job.DueOccurrences(wallMilli) {
		for index := range occurrence.Steps {
			step := &occurrence.Steps[index]
			if step.Done+step.Placed == len(step.Tasks) || !occurrence.Ready(&job.Work, index) {
				continue
			}

			c := s.newCandidate(job, setup, mill.StepID{Job: job.ID, Occurrence: number, Step: index})
			c.state = step

			if c.waiting = s.waitingTasks(c); len(c.waiting) > 0 {
				c.urgency = s.newUrgency(c, occurrence, wallMilli)
				c.advice = s.adviceFor(c)
				found = s.appendSplit(found, c)
			}
		}
	}

	return found
}

// newCandidate returns a step with its queue as configured now; see jobs.Job.CurrentQueue.
func (s *Scheduler) newCandidate(job *jobs.Job, setup *mill.SetupIndex, id mill.StepID) *candidate {
	c := s.memory.next()
	*c = candidate{
		id:            id,
		job:           job,
		queue:         job.CurrentQueue(setup),
		step:          &job.Work.Steps[id.Step],
		tenant:        s.tenantOf(job),
		deliveryDelay: commitDelay + s.bounds.MaxDeliveryDelay,
		now:           s.plannedAt,
	}

	return c
}

// waitingTasks returns the indexes of the tasks that have no run. A gang is placed as a whole, so
// it is returned only when all its tasks wait. It notes whether placements are being committed.
func (s *Scheduler) waitingTasks(c *candidate) []int {
	pending := len(c.state.Tasks) - c.state.Done - c.state.Placed
	waiting := make([]int, 0, max(0, pending))
	mayHaveRun := s.runsByJob[c.id.Job] > 0

	for index := range c.state.Tasks {
		if pending < len(c.state.Tasks) && c.state.Tasks[index].Phase != jobs.TaskPending {
			continue
		}

		if !mayHaveRun {
			waiting = append(waiting, index)
		} else if _, hasRun := s.runs[c.id.Task(index)]; hasRun {
			c.beingPlaced = true
		} else {
			waiting = append(waiting, index)
		}
	}

	if c.step.Gang && len(waiting) < len(c.state.Tasks) {
		return nil
	}

	return waiting
}

func (s *Scheduler) newUrgency(c *candidate, occurrence *jobs.Occurrence, wallMilli int64) plan.Urgency {
	duration := func(step int) time.Duration {
		return s.estimates.Correct(c.queue.Name, c.job.Work.Steps[step].Estimate)
	}
	total := plan.CriticalPath(&c.job.Work, nil, duration)
	remaining := plan.CriticalPath(&c.job.Work, func(step int) bool { return occurrence.Steps[step].Complete() }, duration)

	received := c.job.UnixMilli
	if c.job.Work.Repeat.Times > 0 {
		received = c.job.Work.Repeat.DueUnixMilli(c.id.Occurrence)
	}

	objective := time.Duration(c.queue.Stretch*float64(total)) + c.queue.Objective
	if c.queue.Advice != nil {
		objective += time.Duration(len(c.job.Work.Steps)) * c.queue.Advice.Cost(plan.MinAdviceNames)
	}

	return plan.Urgency{
		Priority:    c.queue.Priority,
		Age:         max(0, time.Duration(wallMilli-received)*time.Millisecond),
		Objective:   objective,
		Remaining:   remaining,
		LongRunning: c.step.LongRunning,
		BeyondShare: c.job.BeyondShare,
		Level:       s.levelOf(c),
		Sequence:    c.job.Sequence,
	}
}

func (s *Scheduler) adviceFor(c *candidate) *advice {
	if c.queue.Advice == nil {
		return nil
	}

	a, ok := s.advice[c.id]
	if !ok {
		a = newAdvice()
		s.advice[c.id] = a
	}

	return a
}
