package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// idleFor returns for how long nothing of the step's job has run while the step could.
func (c *candidate) idleFor(now time.Time) time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}

	return now.Sub(c.idleSince)
}

// recordIdle notes since when the jobs of the candidates have nothing running.
func (s *Scheduler) recordIdle(candidates []*candidate, now time.Time) {
	idleSince := emptied(s.spareIdleSince)

	for _, c := range candidates {
		if !s.nothingRuns(c) {
			continue
		}

		since, ok := s.idleSince[c.id]
		if !ok {
			since = now
		}

		idleSince[c.id] = since
		c.idleSince = since
	}

	s.idleSince, s.spareIdleSince = idleSince, s.idleSince
	s.lastCandidates = candidates
}

// emptied returns an empty map, which is the given one unless that is nil. Maps that each plan fills anew are reused:
// growing one from empty takes longer than filling it.
func emptied(spare map[mill.StepID]time.Time) map[mill.StepID]time.Time {
	if spare == nil {
		return make(map[mill.StepID]time.Time)
	}

	clear(spare)

	return spare
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
