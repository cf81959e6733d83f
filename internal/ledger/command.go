package ledger

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// Attempt identifies one attempt of an entry server to run a keyed request.
type Attempt struct {
	Owner       string
	Incarnation uint64
	Sequence    uint64
}

// Answer is the recorded response of an upstream, returned when the request is resent.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// Oversize is set instead of Body when the body was too large to record.
	Oversize bool
}

// Begin records the intent to run a keyed request.
type Begin struct {
	Key     string
	Digest  []byte
	Attempt Attempt
	// DryRun looks the key up without recording an intent.
	DryRun bool `cbor:"Dry,omitempty"`
}

// Finish records the answer of a keyed request.
type Finish struct {
	Key     string
	Attempt Attempt
	Answer  Answer
}

// Void withdraws the intent of a request that was not dispatched and never will be.
type Void struct {
	Key     string
	Attempt Attempt
}

// Abandon records that the result of a dispatched request will never be known.
type Abandon struct {
	Key     string
	Attempt Attempt
}

// Lead makes Holder the active scheduler if Term follows the current term, or
// renews its lease if Holder and Term are the current ones.
type Lead struct {
	Holder string
	Term   uint64
}

// Submit accepts a job.
type Submit struct {
	ID   string
	Spec mill.JobSpec
}

// Cancel cancels a job.
type Cancel struct {
	ID string
}

// Enroll registers a worker or changes its capacity.
type Enroll struct {
	Term     uint64
	Worker   string
	Capacity mill.Resources
}

// Placement assigns an attempt at a task to a worker.
type Placement struct {
	mill.TaskRef

	Worker string
}

// Assign records placements, all of them or none.
type Assign struct {
	Term       uint64
	Placements []Placement
}

// Completion is the completion of one attempt at a task. The state TaskPending returns the task to the queue.
type Completion struct {
	mill.TaskRef

	State  mill.TaskState
	Reason string
}

// Complete records the completion of attempts at tasks.
type Complete struct {
	Term        uint64
	Completions []Completion `cbor:"Endings"`
}

// Command is a write to the ledger. Exactly one field is set.
type Command struct {
	Begin    *Begin    `cbor:",omitempty"`
	Finish   *Finish   `cbor:",omitempty"`
	Void     *Void     `cbor:",omitempty"`
	Abandon  *Abandon  `cbor:",omitempty"`
	Lead     *Lead     `cbor:",omitempty"`
	Submit   *Submit   `cbor:",omitempty"`
	Cancel   *Cancel   `cbor:",omitempty"`
	Enroll   *Enroll   `cbor:",omitempty"`
	Assign   *Assign   `cbor:",omitempty"`
	Complete *Complete `cbor:"End,omitempty"`
}

// Status is the status of a command's result.
type Status string

// The statuses of results.
const (
	StatusOK       Status = "ok"
	StatusNew      Status = "new"
	StatusInFlight Status = "inFlight"
	StatusDone     Status = "done"
	StatusUnknown  Status = "unknown"
	StatusVoided   Status = "voided"
	StatusMismatch Status = "mismatch"
	StatusStale    Status = "stale"
	StatusRefused  Status = "refused"
	StatusNotFound Status = "notFound"
	// StatusNotSynced means that no replica of the epoch has a disk to sync the intent to.
	StatusNotSynced Status = "notSynced"
)

// Result is the result of a Command.
type Result struct {
	Status Status
	Reason string   `cbor:",omitempty"`
	Owner  *Attempt `cbor:",omitempty"`
	Answer *Answer  `cbor:",omitempty"`
	Term   uint64   `cbor:",omitempty"`
	// Index is the index of the log entry that held the command.
	Index uint64
}
