package ledger

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// The RPC methods of a ledger.
const (
	MethodDeliver = "ledger.Deliver"
	MethodPropose = "ledger.Propose"
	MethodChanges = "ledger.Changes"
	MethodFind    = "ledger.Find"
	MethodStatus  = "ledger.Status"
)

// ProposeRequest asks the primary to commit commands in one log entry.
type ProposeRequest struct {
	Ledger   string
	Commands []Command
}

// ProposeReply holds the result of each command.
type ProposeReply struct {
	Results []Result
}

// ChangesRequest asks for the jobs changed after an index. If there are none, the
// call waits up to WaitMilli for a change.
type ChangesRequest struct {
	Ledger    string
	Since     uint64
	Limit     int
	WaitMilli int64
}

// ChangesReply holds changed jobs. Index is where to continue: every job changed
// up to it is included.
type ChangesReply struct {
	Jobs  []mill.Job
	Index uint64
	// Commit is the index of the last committed entry when the jobs were read.
	Commit uint64
	// Leader is the active scheduler, and Term the term of its lease.
	Leader string
	Term   uint64
	// Renewals counts the lease renewals of the active scheduler, and so changes while it is alive.
	Renewals uint64
}

// FindRequest asks for one job.
type FindRequest struct {
	Ledger string
	Job    string
}

// FindReply holds the job if it exists.
type FindReply struct {
	Found bool
	Job   mill.Job
}

// StatusRequest asks for the status of a ledger.
type StatusRequest struct {
	Ledger string
}

// StatusReply is the status of a ledger as one replica knows it. Term is that of the active scheduler.
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
