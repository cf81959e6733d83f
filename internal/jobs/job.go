package jobs

import (
	"iter"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TaskPhase is the phase of a task's life cycle.
type TaskPhase uint8

// The phases of a task.
const (
	// TaskPending tasks have no run that may be active.
	TaskPending TaskPhase = iota
	// TaskPlaced tasks have a run that may be active on its worker.
	TaskPlaced
	// TaskDone tasks have completed.
	TaskDone
)

// Task is one task of a step.
type Task struct {
	Phase TaskPhase `cbor:"1,keyasint,omitempty"`
	// Run is the number of the latest run; 0 before the first.
	Run int `cbor:"2,keyasint,omitempty"`
	// Worker is the worker of the latest run.
	Worker string `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the latest known checkpoint; "" for none.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Failures is the number of failed runs that were committed as such; see GangRun.
	Failures int `cbor:"5,keyasint,omitempty"`
	// FailedOn lists the workers to avoid because runs of the task failed there.
	FailedOn []string `cbor:"6,keyasint,omitempty"`
	// Suspicion is how strongly the task is suspected of crashing the workers that start it.
	Suspicion int `cbor:"7,keyasint,omitempty"`
	// UncountedFailures is the number of failed runs that were committed with Finish.MemberFailed.
	UncountedFailures int `cbor:"8,keyasint,omitempty"`
}

// HasFailed reports whether a run of the task has failed.
func (t *Task) HasFailed() bool {
	return t.failedRuns() > 0
}

// failedRuns returns how many runs of the task have failed.
func (t *Task) failedRuns() int {
	return t.Failures + t.UncountedFailures
}

// finish makes the task pending again if the finished run is its current one, and reports whether it is.
func (t *Task) finish(finished *Finish) bool {
	if t.Phase != TaskPlaced || t.Run != finished.Run {
		return false
	}

	t.Phase = TaskPending

	if finished.Checkpoint != "" {
		t.Checkpoint = finished.Checkpoint
	}

	return true
}

// Step is the state of one step of one occurrence.
type Step struct {
	Tasks []Task `cbor:"1,keyasint"`
	// Done is the number of tasks that are done.
	Done int `cbor:"2,keyasint,omitempty"`
	// Placed is the number of tasks that are placed.
	Placed int `cbor:"3,keyasint,omitempty"`
	// FailedRuns holds the numbers of a gang's runs that have failed, and EarlierAttempts is the number of those whose
	// numbers are not known, since the data are of an earlier build.
	FailedRuns      []int `cbor:"4,keyasint,omitempty"`
	EarlierAttempts int   `cbor:"5,keyasint,omitempty"`
}

// Complete reports whether all tasks of the step are done.
func (s *Step) Complete() bool {
	return s.Done == len(s.Tasks)
}

// Occurrence is the state of one repetition of a job's steps.
type Occurrence struct {
	Steps []Step `cbor:"1,keyasint"`
}

// Complete reports whether all steps are complete.
func (o *Occurrence) Complete() bool {
	for i := range o.Steps {
		if !o.Steps[i].Complete() {
			return false
		}
	}

	return true
}

// Ready reports whether all steps that a step depends on are complete.
func (o *Occurrence) Ready(work *mill.Workload, step int) bool {
	for _, before := range work.Steps[step].After {
		if !o.Steps[before].Complete() {
			return false
		}
	}

	return true
}

// Job is the state of one job. Once it has an outcome and no run can be active, its work and its
// occurrences are dropped.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the configuration of the first queue of the name when the job was accepted. Earlier builds know no other, so
	// that all replicas decide by its MaxAttempts when they apply entries.
	Queue mill.Queue    `cbor:"2,keyasint"`
	Work  mill.Workload `cbor:"3,keyasint"`
	// UnixMilli is when the job was received, by the proposer's wall clock.
	UnixMilli int64 `cbor:"5,keyasint"`
	// Sequence is the job's position in the order of acceptance.
	Sequence uint64 `cbor:"6,keyasint"`
	// Outcome is completed, failed or canceled, and "" before that is decided.
	Outcome mill.JobState `cbor:"7,keyasint,omitempty"`
	// MayHaveStarted means that a run of the job is placed or has started; HasStarted means that one
	// has started for certain.
	MayHaveStarted bool `cbor:"8,keyasint,omitempty"`
	HasStarted     bool `cbor:"12,keyasint,omitempty"`
	// Occurrences holds the state of each occurrence that has started, by its number.
	Occurrences map[int]*Occurrence `cbor:"9,keyasint,omitempty"`
	// CompleteOccurrences is the number of complete occurrences.
	CompleteOccurrences int `cbor:"10,keyasint,omitempty"`
	// Placed is the number of tasks whose runs may be active.
	Placed int `cbor:"11,keyasint,omitempty"`
	// Tenant is the name of the tenant that the job belongs to; "" for none.
	Tenant string `cbor:"13,keyasint,omitempty"`
	// BeyondShare means that the tenant had submitted more than its share when the job was accepted.
	BeyondShare bool `cbor:"14,keyasint,omitempty"`
	// Route is the configuration of the queue that the job's request has selected, if several queues have had its name; see
	// SelectedQueue.
	Route *mill.Queue `cbor:"15,keyasint,omitempty"`
}

// SelectedQueue returns the configuration, when the job was accepted, of the queue that its request has selected.
func (j *Job) SelectedQueue() *mill.Queue {
	if j.Route != nil {
		return j.Route
	}

	return &j.Queue
}

// CurrentQueue returns the job's queue as a setup configures it, or as it was when the job was accepted if the setup does
// not have it. A queue that has moved to another host or prefix is found by its name if no other has had that name.
func (j *Job) CurrentQueue(setup *mill.SetupIndex) *mill.Queue {
	selected := j.SelectedQueue()

	named, found := setup.Queue(selected.Name)
	if found && named.Key() == selected.Key() {
		return named
	}

	if current, ok := setup.Route(selected.Key()); ok {
		return current
	}

	if found && j.Route == nil {
		return named
	}

	return selected
}

// State returns the job's state as callers see it.
func (j *Job) State() mill.JobState {
	switch {
	case j.Outcome != "":
		return j.Outcome
	case j.MayHaveStarted:
		return mill.JobRunning
	default:
		return mill.JobQueued
	}
}

// Finished reports whether the job has an outcome, so that no task of it starts any more.
func (j *Job) Finished() bool {
	return j.Outcome != ""
}

// Waits reports whether the job is unfinished and has nothing running.
func (j *Job) Waits() bool {
	return j.Placed == 0 && !j.Finished()
}

// Task returns a task's step and state, or nil if the job does not have the task.
func (j *Job) Task(id mill.TaskID) (*Step, *Task) {
	occurrence := j.Occurrences[id.Occurrence]
	if occurrence == nil || id.Step < 0 || id.Step >= len(occurrence.Steps) {
		return nil, nil
	}

	step := &occurrence.Steps[id.Step]
	if id.Index < 0 || id.Index >= len(step.Tasks) {
		return nil, nil
	}

	return step, &step.Tasks[id.Index]
}

// DueOccurrences yields the occurrences that have started and are not complete, and those that
// have not started but are due at the given wall clock time. The caller must not modify them.
func (j *Job) DueOccurrences(wallMilli int64) iter.Seq2[int, *Occurrence] {
	return func(yield func(int, *Occurrence) bool) {
		for number, occurrence := range j.Occurrences {
			if !occurrence.Complete() && !yield(number, occurrence) {
				return
			}
		}

		for number := range j.Work.Repeat.Times {
			if j.Work.Repeat.DueUnixMilli(number) > wallMilli {
				return
			}

			if _, started := j.Occurrences[number]; !started && !yield(number, j.newOccurrence()) {
				return
			}
		}
	}
}

// newOccurrence returns the initial state of an occurrence.
func (j *Job) newOccurrence() *Occurrence {
	occurrence := &Occurrence{Steps: make([]Step, len(j.Work.Steps))}

	for i := range j.Work.Steps {
		occurrence.Steps[i].Tasks = make([]Task, j.Work.Steps[i].Count)
	}

	return occurrence
}

// startOccurrence adds the initial state of an occurrence.
func (j *Job) startOccurrence(number int) {
	if j.Occurrences == nil {
		j.Occurrences = make(map[int]*Occurrence)
	}

	j.Occurrences[number] = j.newOccurrence()
}

// compact drops the work and the occurrences of a finished job, unless one of its runs may be active.
func (j *Job) compact() {
	if j.Finished() && j.Placed == 0 {
		j.Work = mill.Workload{}
		j.Occurrences = nil
	}
}
