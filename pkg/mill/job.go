package mill

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// JobKind is the kind of a job.
type JobKind string

// The kinds of job.
const (
	KindService   JobKind = "service"
	KindBatch     JobKind = "batch"
	KindAllAtOnce JobKind = "allAtOnce"
	KindHandover  JobKind = "handover"
)

// The bounds of a job.
const (
	MaxTasks       = 10000
	MaxRunTime     = 30 * 24 * time.Hour
	MaxTaskRetries = 1000
)

// JobSpec is the specification of a job, as an operator submits it.
type JobSpec struct {
	Kind         JobKind   `json:"kind"`
	Team         string    `json:"team"`
	Tasks        int       `json:"tasks"`
	PerTask      Resources `json:"each"`
	RunTimeMilli int64     `json:"runTimeMilli"`
	Urgent       bool      `json:"urgent"`
	Command      string    `json:"command"`
	MaxRetries   int       `json:"maxRetries"`
}

// Validate returns ErrInvalid naming the first field that is out of range.
func (s *JobSpec) Validate() error {
	switch s.Kind {
	case KindService, KindBatch, KindAllAtOnce, KindHandover:
	default:
		return merry.Prependf(ErrInvalid, "kind %q: want service, batch, allAtOnce or handover", s.Kind)
	}

	if err := ValidateName("team", s.Team); err != nil {
		return err
	}

	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return merry.Prependf(ErrInvalid, "tasks %d: want 1 to %d", s.Tasks, MaxTasks)
	}

	if !s.PerTask.Valid() {
		return merry.Prependf(ErrInvalid, "each %+v: want amounts of 0 or more, one above 0", s.PerTask)
	}

	if s.RunTimeMilli < 0 || s.RunTimeMilli > MaxRunTime.Milliseconds() {
		return merry.Prependf(ErrInvalid, "runTimeMilli %d: want 0 to %d", s.RunTimeMilli, MaxRunTime.Milliseconds())
	}

	if s.MaxRetries < 0 || s.MaxRetries > MaxTaskRetries {
		return merry.Prependf(ErrInvalid, "maxRetries %d: want 0 to %d", s.MaxRetries, MaxTaskRetries)
	}

	return nil
}

// TaskState is the state of one task of a job.
type TaskState string

// The states of a task.
const (
	TaskPending  TaskState = "pending"
	TaskAssigned TaskState = "assigned"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	TaskCanceled TaskState = "canceled"
)

// Final reports whether a task in this state never runs again.
func (s TaskState) Final() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCanceled
}

// Task is one task of a job with its latest attempt.
type Task struct {
	State    TaskState `json:"state"`
	Attempt  int       `json:"attempt"`
	Worker   string    `json:"worker,omitempty"`
	Failures int       `json:"failures,omitempty"`
	Reason   string    `json:"reason,omitempty"`
}

// Job is an accepted job with the state of each task.
type Job struct {
	ID       string  `json:"id"`
	Spec     JobSpec `json:"spec"`
	Tasks    []Task  `json:"tasks"`
	Canceled bool    `json:"canceled,omitempty"`
}

// State summarizes the states of the tasks: the first of assigned, pending, failed and canceled
// that any task is in, or else done.
func (j *Job) State() TaskState {
	counts := make(map[TaskState]int)
	for i := range j.Tasks {
		counts[j.Tasks[i].State]++
	}

	switch {
	case counts[TaskAssigned] > 0:
		return TaskAssigned
	case counts[TaskPending] > 0:
		return TaskPending
	case counts[TaskFailed] > 0:
		return TaskFailed
	case counts[TaskCanceled] > 0:
		return TaskCanceled
	default:
		return TaskDone
	}
}

// Final reports whether every task of the job is in a final state.
func (j *Job) Final() bool {
	for i := range j.Tasks {
		if !j.Tasks[i].State.Final() {
			return false
		}
	}

	return true
}

// TaskRef identifies one attempt at one task.
type TaskRef struct {
	Job     string `json:"job"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}
