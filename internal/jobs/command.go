package jobs

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// Command is one change of the state; exactly one field is set.
type Command struct {
	Setup  *mill.Setup `cbor:"1,keyasint,omitempty"`
	Submit *Submit     `cbor:"2,keyasint,omitempty"`
	Cancel *Cancel     `cbor:"3,keyasint,omitempty"`
	Place  *Place      `cbor:"4,keyasint,omitempty"`
	End    *End        `cbor:"5,keyasint,omitempty"`
	// Know records what a worker says of itself, but for what changes with every report.
	Know *mill.WorkerStatus `cbor:"6,keyasint,omitempty"`
	// Forget drops the record of the worker of this id.
	Forget string `cbor:"7,keyasint,omitempty"`
	// StartWave accepts a wave of upkeep.
	StartWave *mill.Wave `cbor:"8,keyasint,omitempty"`
	// Upkeep records that a machine of a wave has begun its upkeep, or stays without.
	Upkeep *Upkeep `cbor:"9,keyasint,omitempty"`
}

// Batch is what one entry of the replicated log holds.
type Batch struct {
	Commands []Command `cbor:"1,keyasint"`
}

// Submit accepts a job under the caller's id.
type Submit struct {
	Job   string        `cbor:"1,keyasint"`
	Queue string        `cbor:"2,keyasint"`
	Work  mill.Workload `cbor:"3,keyasint"`
	// UnixMilli is when the proposer received the job, by its time of day.
	UnixMilli int64 `cbor:"4,keyasint"`
}

// Cancel ends a job.
type Cancel struct {
	Job string `cbor:"1,keyasint"`
}

// Place records that a run of a task may be started on a worker.
type Place struct {
	Task   mill.TaskID `cbor:"1,keyasint"`
	Run    int         `cbor:"2,keyasint"`
	Worker string      `cbor:"3,keyasint"`
}

// End records how a run ended.
type End struct {
	Task       mill.TaskID      `cbor:"1,keyasint"`
	Run        int              `cbor:"2,keyasint"`
	Cause      mill.FinishCause `cbor:"3,keyasint"`
	Checkpoint string           `cbor:"4,keyasint,omitempty"`
}

// Upkeep settles one machine of a wave.
type Upkeep struct {
	Wave    int    `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
}

// Result is what a command came to.
type Result uint8

// The results of commands.
const (
	// ResultApplied means that the state has changed, or had changed so before.
	ResultApplied Result = iota + 1
	// ResultObsolete means that the state has moved on and the command changed nothing.
	ResultObsolete
	// ResultNoQueue means that the queue of a submission is not in force.
	ResultNoQueue
	// ResultNotFound means that there is no such job.
	ResultNotFound
)
