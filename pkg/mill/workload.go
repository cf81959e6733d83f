package mill

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// The bounds of a workload, so that no input can exhaust memory.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxStepTasks   = 10000
	MaxRepetitions = 1 << 20
	// MaxTaskAmount limits a task's requirement in any one resource.
	MaxTaskAmount = 1 << 40
	// MaxEstimate limits a task's estimated run time, so that the sum over all steps cannot overflow.
	MaxEstimate = 365 * 24 * time.Hour
)

// Workload is the work of a job: steps of identical tasks, run once or repeatedly.
type Workload struct {
	// Spec is passed to every task uninterpreted; at most MaxSpecBytes.
	Spec string `json:"spec"`
	// Steps run in the order that their After fields require.
	Steps []Step `json:"steps"`
	// Repeat is zero for a workload that runs once, immediately.
	Repeat Repeat `json:"repeat,omitzero"`
}

// Repeat is the schedule of a workload's occurrences.
type Repeat struct {
	// Times is the number of occurrences; 0 means one, due immediately.
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

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// PerTask is the resource requirement of one task.
	PerTask Resources `json:"each"`
	// Estimate is the submitter's rough estimate of one task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the indexes of the earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpointing means that the tasks report checkpoints from which they can resume.
	Checkpointing bool `json:"checkpointing,omitempty"`
	// Gang means that the tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slow if they run on more than one rack.
	SameRack bool `json:"sameRack,omitempty"`
	// Label is a label that the worker must have; "" for any worker.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the tasks' data; they are slow on other racks.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 for no limit.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Speculative allows several concurrent runs of one task.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning means that the tasks run until the job is canceled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names the program that runs; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// TailLatencyTarget is the tail latency that a serving task should stay under; 0 for a task that serves no requests.
	TailLatencyTarget time.Duration `json:"tailTarget,omitempty"`
	// BestEffort means that the tasks get only the cores that other tasks leave unused.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable limits how many tasks of a long-running step may be unavailable when maintenance
	// interrupts some of them; 0 for no limit.
	MaxUnavailable int `json:"mayMiss,omitempty"`
}

// Reserves returns the capacity that a task of the step reserves on a worker.
func (s *Step) Reserves() Resources {
	if !s.BestEffort {
		return s.PerTask
	}

	return Resources{MemoryMiB: s.PerTask.MemoryMiB, Accelerators: s.PerTask.Accelerators}
}

// Occurrences returns the number of times that the workload runs.
func (w *Workload) Occurrences() int {
	return max(1, w.Repeat.Times)
}

// Validate returns ErrInvalid naming the first field that is out of range.
func (w *Workload) Validate() error {
	if len(w.Spec) > MaxSpecBytes {
		return merry.Prependf(ErrInvalid, "spec of %d bytes: want at most %d", len(w.Spec), MaxSpecBytes)
	}

	if len(w.Steps) == 0 || len(w.Steps) > MaxSteps {
		return merry.Prependf(ErrInvalid, "%d steps: want 1 to %d", len(w.Steps), MaxSteps)
	}

	if w.Repeat.Times < 0 || w.Repeat.Times > MaxRepetitions || w.Repeat.Interval < 0 {
		return merry.Prependf(ErrInvalid, "repeat %d times every %s: want 0 to %d times and no negative interval",
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

	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.TailLatencyTarget < 0 {
		return merry.Prepend(ErrInvalid, "maxPerWorker, mayMiss, estimate and tailTarget: want 0 or more")
	}

	if s.Estimate > MaxEstimate {
		return merry.Prependf(ErrInvalid, "estimate %s: want at most %s", s.Estimate, MaxEstimate)
	}

	for _, amount := range []int64{s.PerTask.MilliCores, s.PerTask.MemoryMiB, s.PerTask.Accelerators} {
		if amount < 0 || amount > MaxTaskAmount {
			return merry.Prependf(ErrInvalid, "resource amount %d: want 0 to %d", amount, int64(MaxTaskAmount))
		}
	}

	return s.validateAfter(index)
}

// validateAfter checks that a step depends on earlier steps only.
func (s *Step) validateAfter(index int) error {
	for _, before := range s.After {
		if before < 0 || before >= index {
			return merry.Prependf(ErrInvalid, "after %d: want an earlier step", before)
		}
	}

	return nil
}
