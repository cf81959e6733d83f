package jobs

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// TaskPhase is where a task stands.
type TaskPhase uint8

// The phases of a task.
const (
	// TaskWaiting tasks have no run that may be alive.
	TaskWaiting TaskPhase = iota
	// TaskPlaced tasks have a run that may be alive.
	TaskPlaced
	// TaskDone tasks have a run that ended done.
	TaskDone
)

// Task is one task of a step.
type Task struct {
	Phase TaskPhase `cbor:"1,keyasint,omitempty"`
	// Run is the number of the latest run; 0 before the first.
	Run int `cbor:"2,keyasint,omitempty"`
	// Worker is where the latest run was placed.
	Worker string `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the latest known; "" for none.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Failures counts the runs that ended failed.
	Failures int `cbor:"5,keyasint,omitempty"`
	// FailedOn lists the workers of those runs.
	FailedOn []string `cbor:"6,keyasint,omitempty"`
}

// lift takes the task's run away, and reports whether it was the one that ended.
func (t *Task) lift(end *End) bool {
	if t.Phase != TaskPlaced || t.Run != end.Run {
		return false
	}

	t.Phase = TaskWaiting

	if end.Checkpoint != "" {
		t.Checkpoint = end.Checkpoint
	}

	return true
}

// Step is the state of one step of one occurrence.
type Step struct {
	Tasks []Task `cbor:"1,keyasint"`
	// Done counts the tasks that are done.
	Done int `cbor:"2,keyasint,omitempty"`
	// Placed counts the tasks that are placed.
	Placed int `cbor:"3,keyasint,omitempty"`
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

// Ready reports whether the steps that a step comes after are complete.
func (o *Occurrence) Ready(work *mill.Workload, step int) bool {
	for _, before := range work.Steps[step].After {
		if !o.Steps[before].Complete() {
			return false
		}
	}

	return true
}

// Job is the state of one job. Once it is over and no run is alive, only its outcome is kept.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the queue as it was in force when the job was accepted.
	Queue mill.Queue    `cbor:"2,keyasint"`
	Work  mill.Workload `cbor:"3,keyasint"`
	// UnixMilli is when the job was received, by the proposer's time of day.
	UnixMilli int64 `cbor:"5,keyasint"`
	// Sequence is the job's place in the order of acceptance.
	Sequence uint64 `cbor:"6,keyasint"`
	// Outcome is completed, failed or canceled once the job is over, and "" before.
	Outcome mill.JobState `cbor:"7,keyasint,omitempty"`
	// Started says that a run of the job has been placed, and Began that one has certainly begun.
	Started bool `cbor:"8,keyasint,omitempty"`
	Began   bool `cbor:"12,keyasint,omitempty"`
	// Occurrences holds the state by occurrence; it grows as they begin.
	Occurrences map[int]*Occurrence `cbor:"9,keyasint,omitempty"`
	// CompleteCount counts the occurrences that are complete and no longer held.
	CompleteCount int `cbor:"10,keyasint,omitempty"`
	// Placed counts the tasks whose runs may be alive.
	Placed int `cbor:"11,keyasint,omitempty"`
}

// State returns what a caller is told.
func (j *Job) State() mill.JobState {
	switch {
	case j.Outcome != "":
		return j.Outcome
	case j.Started:
		return mill.JobRunning
	default:
		return mill.JobQueued
	}
}

// Over reports whether no task of the job may start any more.
func (j *Job) Over() bool {
	return j.Outcome != ""
}

// Task returns a task's step and state, or nil when the job holds no such task.
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

// Due returns the occurrences that have begun and are not complete, and those that
// are due by a time of day and have not begun yet. The caller must not change the job.
func (j *Job) Due(wallMilli int64) map[int]*Occurrence {
	due := make(map[int]*Occurrence, len(j.Occurrences))

	for number, occurrence := range j.Occurrences {
		if !occurrence.Complete() {
			due[number] = occurrence
		}
	}

	for number := range j.Work.Repeat.Times {
		if j.Work.Repeat.DueUnixMilli(number) > wallMilli {
			break
		}

		if _, begun := j.Occurrences[number]; !begun {
			due[number] = j.fresh()
		}
	}

	return due
}

// fresh returns the state of an occurrence that begins.
func (j *Job) fresh() *Occurrence {
	occurrence := &Occurrence{Steps: make([]Step, len(j.Work.Steps))}

	for i := range j.Work.Steps {
		occurrence.Steps[i].Tasks = make([]Task, j.Work.Steps[i].Count)
	}

	return occurrence
}

// begin makes the state of an occurrence.
func (j *Job) begin(number int) {
	if j.Occurrences == nil {
		j.Occurrences = make(map[int]*Occurrence)
	}

	j.Occurrences[number] = j.fresh()
}

// shrink drops what is no longer needed once the job is over and nothing of it runs.
func (j *Job) shrink() {
	if j.Over() && j.Placed == 0 {
		j.Work = mill.Workload{}
		j.Occurrences = nil
	}
}
