package ledger

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// The methods of a ledger.
const (
	MethodDeliver = "ledger.Deliver"
	MethodPropose = "ledger.Propose"
	MethodChanges = "ledger.Changes"
	MethodFind    = "ledger.Find"
	MethodStatus  = "ledger.Status"
)

// ProposeRequest asks for commands to be committed in one entry.
type ProposeRequest struct {
	Ledger   string
	Commands []Command
}

// ProposeReply holds the result of each command.
type ProposeReply struct {
	Results []Result
}

// ChangesRequest asks for jobs changed after an index, and waits for one when there is none.
type ChangesRequest struct {
	Ledger    string
	Since     uint64
	Limit     int
	WaitMilli int64
}

// ChangesReply holds changed jobs and the index to ask from next: nothing that
// changed up to it is missing.
type ChangesReply struct {
	Jobs  []mill.Job
	Index uint64
	// Commit is the index of the last entry that the jobs include.
	Commit uint64
	Leader string
	Term   uint64
	// Renewals changes as long as the active scheduler is alive.
	Renewals uint64
}

// FindRequest asks for one job.
type FindRequest struct {
	Ledger string
	Job    string
}

// FindReply holds the job if it is known.
type FindReply struct {
	Found bool
	Job   mill.Job
}

// StatusRequest asks how a ledger is.
type StatusRequest struct {
	Ledger string
}

// StatusReply tells how a ledger is, as far as one copy knows.
type StatusReply struct {
	VM        string
	Identity  string
	Leading   bool
	Epoch     mill.Epoch
	Commit    uint64
	Last      uint64
	Scheduler string
	Term      uint64
}
