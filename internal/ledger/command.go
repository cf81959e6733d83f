package ledger

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// Attempt names one try of an entry to run a keyed request.
type Attempt struct {
	Owner       string
	Incarnation uint64
	Sequence    uint64
}

// Answer is what an upstream answered, recorded for resends.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// Oversize is set instead of Body when the body was too large to record.
	Oversize bool
}

// Header is one HTTP header of an Answer.
type Header struct {
	Name  string
	Value string
}

// Begin records the intent to run a keyed request.
type Begin struct {
	Key     string
	Digest  []byte
	Attempt Attempt
	// Dry asks what is known of the key and records nothing.
	Dry bool `cbor:",omitempty"`
}

// Finish records the answer of a keyed request.
type Finish struct {
	Key     string
	Attempt Attempt
	Answer  Answer
}

// Void withdraws an intent that was not dispatched and never will be.
type Void struct {
	Key     string
	Attempt Attempt
}

// Abandon records that nobody will ever know how a dispatched request ended.
type Abandon struct {
	Key     string
	Attempt Attempt
}

// Lead makes a scheduler the active one when Term follows the current term.
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

// Enroll sets the capacity of a worker.
type Enroll struct {
	Term     uint64
	Worker   string
	Capacity mill.Resources
}

// Placement is one attempt given to one worker.
type Placement struct {
	mill.TaskRef

	Worker string
}

// Assign commits placements, all of them or none.
type Assign struct {
	Term       uint64
	Placements []Placement
}

// Ending ends one attempt; TaskPending as state puts the task back.
type Ending struct {
	mill.TaskRef

	State  mill.TaskState
	Reason string
}

// End commits the endings of attempts.
type End struct {
	Term    uint64
	Endings []Ending
}

// Command is one write; exactly one field is set.
type Command struct {
	Begin   *Begin   `cbor:",omitempty"`
	Finish  *Finish  `cbor:",omitempty"`
	Void    *Void    `cbor:",omitempty"`
	Abandon *Abandon `cbor:",omitempty"`
	Lead    *Lead    `cbor:",omitempty"`
	Submit  *Submit  `cbor:",omitempty"`
	Cancel  *Cancel  `cbor:",omitempty"`
	Enroll  *Enroll  `cbor:",omitempty"`
	Assign  *Assign  `cbor:",omitempty"`
	End     *End     `cbor:",omitempty"`
}

// Status is the result of a command in one word.
type Status string

// The results of commands.
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
	// StatusNotSynced means that no replica of the epoch could sync the intent to a disk.
	StatusNotSynced Status = "notSynced"
)

// Result is the answer to a Command.
type Result struct {
	Status Status
	Reason string   `cbor:",omitempty"`
	Owner  *Attempt `cbor:",omitempty"`
	Answer *Answer  `cbor:",omitempty"`
	Term   uint64   `cbor:",omitempty"`
	// Index is the place in the log of the entry that had the command.
	Index uint64
}
