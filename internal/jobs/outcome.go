package jobs

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// OutcomeReason is why a job has got its outcome.
type OutcomeReason string

// The reasons for outcomes.
const (
	// ReasonTasksDone means that all tasks of the job are done.
	ReasonTasksDone OutcomeReason = "tasksDone"
	// ReasonCanceled means that a caller has canceled the job.
	ReasonCanceled OutcomeReason = "canceled"
	// ReasonAttempts means that a task, or a gang, has failed as often as its queue allows.
	ReasonAttempts OutcomeReason = "attemptsUsedUp"
	// ReasonCrashes means that a task is suspected of crashing the workers that start it.
	ReasonCrashes OutcomeReason = "workersCrashed"
)

// maxOutcomes bounds the outcomes that wait to be taken; further ones are dropped. One log entry decides fewer.
const maxOutcomes = 1024

// Outcome describes how a job has ended and what decided it, for logs.
type Outcome struct {
	Job    string
	Queue  string
	State  mill.JobState
	Reason OutcomeReason
	// Decider is the run whose end decided the outcome; it is zero for a canceled job.
	Decider mill.RunRef
	// Attempts is the number of failed attempts that count for the decider's task or gang, of MaxAttempts.
	Attempts    int
	MaxAttempts int
	// Failures holds how often the decider's task has ended as failed, or each member of its gang.
	Failures []int
}

// TakeOutcomes returns the outcomes that were decided since the last call.
func (s *State) TakeOutcomes() []Outcome {
	outcomes := s.outcomes
	s.outcomes = nil

	return outcomes
}

// recordOutcome adds the outcome of a job for TakeOutcomes; decider is nil for a canceled job.
func (s *State) recordOutcome(job *Job, reason OutcomeReason, decider *Finish) {
	if len(s.outcomes) >= maxOutcomes {
		return
	}

	outcome := Outcome{
		Job: job.ID, Queue: job.Queue.Name, State: job.Outcome, Reason: reason, MaxAttempts: job.SelectedQueue().MaxAttempts,
	}

	if decider != nil {
		outcome.Decider = mill.RunRef{Task: decider.Task, Run: decider.Run}
		outcome.Attempts = job.Attempts(decider.Task)
		outcome.Failures = job.failures(decider.Task)
	}

	s.outcomes = append(s.outcomes, outcome)
}

// failures returns how often a task has ended as failed, or each member of its gang.
func (j *Job) failures(id mill.TaskID) []int {
	step, task := j.Task(id)
	if !j.Work.Steps[id.Step].Gang {
		return []int{task.failedRuns()}
	}

	counts := make([]int, 0, len(step.Tasks))
	for i := range step.Tasks {
		counts = append(counts, step.Tasks[i].failedRuns())
	}

	return counts
}

// giveUpReason returns why a job fails with a run that the leader has decided to be the last.
func (f *Finish) giveUpReason() OutcomeReason {
	if f.Suspicion > 0 {
		return ReasonCrashes
	}

	return ReasonAttempts
}
