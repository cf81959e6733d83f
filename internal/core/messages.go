package core

import (
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The calls between processes.
const (
	MethodDeliver   = "core.Deliver"
	MethodSubmit    = "core.Submit"
	MethodState     = "core.State"
	MethodCancel    = "core.Cancel"
	MethodPending   = "core.Pending"
	MethodConfigure = "core.Configure"
	MethodSetup     = "core.Setup"
	MethodWave      = "core.Wave"
	MethodWaveState = "core.WaveState"
	MethodFollow    = "core.Follow"
	MethodPassOn    = "core.PassOn"
	MethodAdvise    = "core.Advise"
)

// SubmitRequest submits a job to the queue that host and path select.
type SubmitRequest struct {
	// Term is that of the leader that the request is for: a later term of the same
	// process does not take it, so that a request which was given up stays dead.
	Term uint64
	Host string
	Path string
	Work mill.Workload
}

// SubmitReply answers a SubmitRequest.
type SubmitReply struct {
	Receipt mill.Receipt
}

// JobRequest is about the job, or the queue, that host and path select.
type JobRequest struct {
	Host string
	Path string
}

// StateReply answers a JobRequest for a job's state or its cancellation.
type StateReply struct {
	State mill.JobState
}

// PendingReply answers a JobRequest for a queue's count.
type PendingReply struct {
	Pending int
}

// SetupReply holds the setup in force; nil before the first.
type SetupReply struct {
	Setup *mill.Setup
}

// ConfigureReply answers a change of the setup.
type ConfigureReply struct{}

// WaveReply answers a mill.Wave that is to be stored.
type WaveReply struct{}

// WaveStateRequest asks how far a wave is.
type WaveStateRequest struct {
	Number int
}

// WaveStateReply answers a WaveStateRequest.
type WaveStateReply struct {
	Complete bool
}

// SetupRequest asks for the newest setup.
type SetupRequest struct{}

// FollowRequest asks for a setup that is newer than a version.
type FollowRequest struct {
	Version uint64
	// Advisor is the address at which the sender asks the advisor for the leader; "" for none.
	Advisor string
	// UnixMilli is the sender's time of day, in milliseconds since 1970.
	UnixMilli int64
	// WaitMilli is how long the answer may be held back.
	WaitMilli int64
}

// FollowReply answers a FollowRequest.
type FollowReply struct {
	// Setup is nil when there is no newer one.
	Setup *mill.Setup
	// Leader is the leader's address, "" while none is known, and Term its term.
	Leader string
	Term   uint64
	// Members are the addresses of the group.
	Members []string
}

// News is what one process of the core passes on to the others about a worker.
type News struct {
	Status *mill.WorkerStatus `cbor:",omitempty"`
	// Removed is the id of a worker that ends.
	Removed string `cbor:",omitempty"`
}

// AdviseRequest asks the advisor from the receiver's address.
type AdviseRequest struct {
	Step    mill.StepID
	Workers []string
	// LimitMilli is how long the answer may take.
	LimitMilli int64
}

// AdviseReply answers an AdviseRequest.
type AdviseReply struct {
	Advice mill.Advice
}
