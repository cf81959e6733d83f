package jobs

import (
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Attempts returns the number of failed attempts of a task, or of its gang. A failed run of a gang is one attempt, however
// many of its members have failed.
func (j *Job) Attempts(id mill.TaskID) int {
	step, task := j.Task(id)
	if !j.Work.Steps[id.Step].Gang {
		return task.failedRuns()
	}

	if j.Work.Steps[id.Step].LongRunning || j.SelectedQueue().MaxAttempts <= 0 {
		return 0 // There is no limit to them, so they are not counted.
	}

	return max(step.EarlierAttempts+len(step.FailedRuns), step.mostFailures())
}

// mostFailures returns how often the member of a gang that has failed most often has done so.
func (s *Step) mostFailures() int {
	most := 0
	for i := range s.Tasks {
		most = max(most, s.Tasks[i].failedRuns())
	}

	return most
}

// recordAttempts raises the number of failed attempts to what the leader counts, which may know more of them.
func (s *Step) recordAttempts(count int) {
	s.EarlierAttempts = max(s.EarlierAttempts, count-len(s.FailedRuns))
}

func (s *Step) recordFailedRun(number int) {
	if !slices.Contains(s.FailedRuns, number) {
		s.FailedRuns = append(s.FailedRuns, number)
	}
}

// adoptEarlierFailures derives the failed attempts of gangs from the data of a build that has not stored them.
func (j *Job) adoptEarlierFailures() {
	if j.SelectedQueue().MaxAttempts <= 0 {
		return
	}

	for _, occurrence := range j.Occurrences {
		for index := range occurrence.Steps {
			if spec := &j.Work.Steps[index]; spec.Gang && !spec.LongRunning {
				occurrence.Steps[index].adoptEarlierFailures()
			}
		}
	}
}

// adoptEarlierFailures assumes the least number of attempts that explains the failures of the members: it is not known
// which of them were in one run, and a job must not fail while it has attempts left.
func (s *Step) adoptEarlierFailures() {
	if s.EarlierAttempts > 0 || len(s.FailedRuns) > 0 {
		return
	}

	ending := s.endingRun()

	for i := range s.Tasks {
		if ending > 0 && s.Tasks[i].failedIn(ending) {
			s.recordFailedRun(ending)
		}
	}

	s.recordAttempts(s.mostFailures())
}

// endingRun returns the number of the gang's run if some members may be active in it, and 0 if not.
func (s *Step) endingRun() int {
	number := 0

	for i := range s.Tasks {
		if s.Tasks[i].Phase == TaskPlaced {
			number = max(number, s.Tasks[i].Run)
		}
	}

	return number
}

// failedIn reports whether a run seems to have failed, as far as an earlier build has stored it: the task is not active, and
// its latest worker is one to avoid.
func (t *Task) failedIn(run int) bool {
	return t.Run == run && t.Phase == TaskPending && t.Failures > 0 && slices.Contains(t.FailedOn, t.Worker)
}
