package mill

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// The bounds of a workload, against input that would take all memory.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxStepTasks   = 10000
	MaxRepetitions = 1 << 20
	// MaxTaskAmount bounds one dimension of what a task needs.
	MaxTaskAmount = 1 << 40
)

// Workload is what a job runs: steps of like tasks, once or repeatedly.
type Workload struct {
	// Spec is passed to every task unread; at most MaxSpecBytes.
	Spec string `json:"spec"`
	// Steps run in the order that their After fields demand.
	Steps []Step `json:"steps"`
	// Repeat is zero for a workload that runs once, at once.
	Repeat Repeat `json:"repeat,omitzero"`
}

// Repeat says when the occurrences of a workload are due.
type Repeat struct {
	// Times is the number of occurrences; 0 means one, due at once.
	Times int `json:"times,omitempty"`
	// FirstUnixMilli is when occurrence 0 is due, in milliseconds since 1970.
	FirstUnixMilli int64 `json:"firstUnixMilli,omitempty"`
	// Interval is the time from one occurrence to the next.
	Interval time.Duration `json:"interval,omitempty"`
}

// DueUnixMilli returns when an occurrence is due, in milliseconds since 1970.
func (r *Repeat) DueUnixMilli(occurrence int) int64 {
	return r.FirstUnixMilli + int64(occurrence)*r.Interval.Milliseconds()
}

// Step is a set of like tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// Each is what one task needs.
	Each Resources `json:"each"`
	// Estimate is the submitter's rough guess of one task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps, from 0, whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpointing tasks resume from a checkpoint that they hand out.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are slow when they run on more than one rack.
	SameRack bool `json:"sameRack,omitempty"`
	// Label is one that the worker must have; "" for any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the data; tasks are slow elsewhere.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 for no bound.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Copies allows several runs of one task at a time.
	Copies bool `json:"copies,omitempty"`
	// Lasting tasks run until the job is canceled.
	Lasting bool `json:"lasting,omitempty"`
	// Image names what runs: tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailTarget bounds the tail of a serving task's response times; 0 for a task that serves nobody.
	TailTarget time.Duration `json:"tailTarget,omitempty"`
	// Fills marks tasks that get only the cores which others leave unused.
	Fills bool `json:"fills,omitempty"`
	// MayMiss is how many tasks of a lasting step planned work may take away at a time.
	MayMiss int `json:"mayMiss,omitempty"`
}

// Reserves returns what a task of the step takes from a worker's capacity.
func (s *Step) Reserves() Resources {
	if !s.Fills {
		return s.Each
	}

	return Resources{MemoryMiB: s.Each.MemoryMiB, Accelerators: s.Each.Accelerators}
}

// Occurrences returns how often the workload runs.
func (w *Workload) Occurrences() int {
	return max(1, w.Repeat.Times)
}

// Validate returns mill.ErrInvalid naming the first field that is out of range.
func (w *Workload) Validate() error {
	if len(w.Spec) > MaxSpecBytes {
		return merry.Prependf(ErrInvalid, "spec of %d bytes: want at most %d", len(w.Spec), MaxSpecBytes)
	}

	if len(w.Steps) == 0 || len(w.Steps) > MaxSteps {
		return merry.Prependf(ErrInvalid, "%d steps: want 1 to %d", len(w.Steps), MaxSteps)
	}

	if w.Repeat.Times < 0 || w.Repeat.Times > MaxRepetitions || w.Repeat.Interval < 0 {
		return merry.Prependf(ErrInvalid, "repeat %d times each %s: want 0 to %d times and no negative interval",
			w.Repeat.Times, w.Repeat.Interval, MaxRepetitions)
	}

	for i := range w.Steps {
		if err := w.Steps[i].validate(i); err != nil {
			return merry.Prependf(err, "step %d", i)
		}
	}

	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxStepTasks {
		return merry.Prependf(ErrInvalid, "count %d: want 1 to %d", s.Count, MaxStepTasks)
	}

	if s.MaxPerWorker < 0 || s.MayMiss < 0 || s.Estimate < 0 || s.TailTarget < 0 {
		return merry.Prepend(ErrInvalid, "a bound or time is negative: want 0 or more")
	}

	for _, amount := range []int64{s.Each.MilliCores, s.Each.MemoryMiB, s.Each.Accelerators} {
		if amount < 0 || amount > MaxTaskAmount {
			return merry.Prependf(ErrInvalid, "needs %d: want 0 to %d", amount, int64(MaxTaskAmount))
		}
	}

	return s.validateAfter(index)
}

// validateAfter checks that a step comes after earlier ones only.
func (s *Step) validateAfter(index int) error {
	for _, before := range s.After {
		if before < 0 || before >= index {
			return merry.Prependf(ErrInvalid, "after %d: want an earlier step", before)
		}
	}

	return nil
}
