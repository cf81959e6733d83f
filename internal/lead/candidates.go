package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// candidates returns the steps that have tasks which could start, best first.
func (s *Scheduler) candidates(wall int64, state *jobs.State) []*candidate {
	var found []*candidate

	for _, job := range state.OpenJobs() {
		if job.Finished() {
			continue
		}

		found = s.candidatesOf(found, job, wall, state.Setup())
	}

	for id := range s.advice {
		if job, ok := state.Job(id.Job); !ok || job.Finished() {
			delete(s.advice, id)
		}
	}

	for id := range s.retrying {
		if job, ok := state.Job(id.Job); !ok || job.Finished() {
			delete(s.retrying, id)
		}
	}

	plan.SortByUrgency(found, func(c *candidate) *plan.Urgency { return &c.claim })

	return found
}

func (s *Scheduler) candidatesOf(found []*candidate, job *jobs.Job, wall int64, setup *mill.Setup) []*candidate {
	for number, occurrence := range job.DueOccurrences(wall) {
		for index := range occurrence.Steps {
			step := &occurrence.Steps[index]
			if step.Done+step.Placed == len(step.Tasks) || !occurrence.Ready(&job.Work, index) {
				continue
			}

			c := s.candidate(job, setup, mill.StepID{Job: job.ID, Occurrence: number, Step: index})
			c.state = step

			if c.waiting = s.waiting(c); len(c.waiting) > 0 {
				c.claim = s.claim(c, occurrence, wall)
				c.advice = s.adviceFor(c)
				found = append(found, c)
			}
		}
	}

	return found
}

// candidate returns a step by the setup in force.
func (s *Scheduler) candidate(job *jobs.Job, setup *mill.Setup, id mill.StepID) *candidate {
	queue := &job.Queue

	if setup != nil {
		if current, ok := setup.Queue(queue.Name); ok {
			queue = current
		}
	}

	return &candidate{
		id:      id,
		job:     job,
		queue:   queue,
		step:    &job.Work.Steps[id.Step],
		arrives: commitTime + s.bounds.DeliverTime,
	}
}

// waiting returns the tasks of a step that have no run. A gang waits as a whole.
func (s *Scheduler) waiting(c *candidate) []int {
	var waiting []int

	for index := range c.state.Tasks {
		if c.state.Tasks[index].Phase != jobs.TaskPending {
			continue
		}

		if _, claimed := s.runs[c.id.Task(index)]; !claimed {
			waiting = append(waiting, index)
		}
	}

	if c.step.Gang && len(waiting) < len(c.state.Tasks) {
		return nil
	}

	return waiting
}

func (s *Scheduler) claim(c *candidate, occurrence *jobs.Occurrence, wall int64) plan.Urgency {
	takes := func(step int) time.Duration {
		return s.estimates.Correct(c.queue.Name, c.job.Work.Steps[step].Estimate)
	}
	whole := plan.CriticalPath(&c.job.Work, nil, takes)
	left := plan.CriticalPath(&c.job.Work, func(step int) bool { return occurrence.Steps[step].Complete() }, takes)

	received := c.job.UnixMilli
	if c.job.Work.Repeat.Times > 0 {
		received = c.job.Work.Repeat.DueUnixMilli(c.id.Occurrence)
	}

	objective := time.Duration(c.queue.Stretch*float64(whole)) + c.queue.Objective
	if c.queue.Advice != nil {
		objective += time.Duration(len(c.job.Work.Steps)) * c.queue.Advice.Cost(maxAsked)
	}

	return plan.Urgency{
		Priority:    c.queue.Priority,
		Age:         max(0, time.Duration(wall-received)*time.Millisecond),
		Objective:   objective,
		Remaining:   left,
		LongRunning: c.step.LongRunning,
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
