package core

import (
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The names of the calls between processes.
const (
	MethodDeliver   = "core.Deliver"
	MethodSubmit    = "core.Submit"
	MethodState     = "core.State"
	MethodCancel    = "core.Cancel"
	MethodPending   = "core.Pending"
	MethodConfigure = "core.Configure"
	// MethodConfigurePacked is MethodConfigure with a compressed setup, which the earlier build does not know.
	MethodConfigurePacked = "core.ConfigurePacked"
	MethodSetup           = "core.Setup"
	MethodWave            = "core.Wave"
	MethodWaveState       = "core.WaveState"
	MethodContact         = "core.Contact"
	MethodFollow          = "core.Follow"
	MethodForward         = "core.PassOn"
	MethodAdvise          = "core.Advise"
)

// SubmitRequest submits a job to the queue that host and path select.
type SubmitRequest struct {
	// Term is the term of the leader that the request is sent to. The same process refuses
	// it in a later term, so that a request that the sender gave up is not executed late.
	Term uint64
	Host string
	Path string
	Work mill.Workload
	// Key is the tenant's key that the call carries, or "". Earlier builds neither send nor read it.
	Key mill.APIKey `cbor:",omitempty"`
}

// SubmitReply answers a SubmitRequest. A submission without the key that it needs is answered by ErrUnauthenticated or
// ErrForbidden and not by a verdict: entries of the earlier build send no keys and do not know these verdicts.
type SubmitReply struct {
	Receipt mill.Receipt
}

// JobRequest refers to the job or the queue that host and path select.
type JobRequest struct {
	Host string
	Path string
	// Key is the tenant's key that the call carries, or "". Earlier builds neither send nor read it.
	Key mill.APIKey `cbor:",omitempty"`
}

// StateReply answers a JobRequest that reads a job's state or cancels it.
type StateReply struct {
	State mill.JobState
}

// PendingReply answers a JobRequest for the number of pending jobs of a queue.
type PendingReply struct {
	Pending int
}

// SetupReply holds the version, limits and document of the current setup, or nil if there is none yet.
type SetupReply struct {
	Setup *mill.Setup
	// Packed is the compressed setup in place of Setup.
	Packed []byte `cbor:",omitempty"`
}

// PackedSetup holds a compressed mill.Setup.
type PackedSetup struct {
	Packed []byte
}

// ConfigureReply acknowledges a change of the setup.
type ConfigureReply struct{}

// WaveReply acknowledges a mill.Wave.
type WaveReply struct{}

// WaveStateRequest asks for the state of a wave.
type WaveStateRequest struct {
	Number int
}

// WaveStateReply answers a WaveStateRequest.
type WaveStateReply struct {
	Complete bool
}

// SetupRequest asks for the newest setup.
type SetupRequest struct {
	// Unpacks says that the sender takes a compressed setup.
	Unpacks bool `cbor:",omitempty"`
}

// ContactRequest asks a core process for the leader, and registers the sender with it. The leader holds its reply back for
// up to WaitMilli while there is no setup newer than Version (long polling).
type ContactRequest struct {
	// Version is that of the newest setup that the sender knows of.
	Version uint64
	// Advisor is the address at which the sender asks the advisor on the leader's behalf, or "".
	Advisor string
	// RelayFor is the data centre for which the sender relays orders to workers, or "".
	RelayFor string `cbor:",omitempty"`
	// UnixMilli is the sender's wall-clock time, in milliseconds since 1970.
	UnixMilli int64
	// WaitMilli is how long the reply may be held back.
	WaitMilli int64
	// Term is the term of the leader that the sender knows. A process that does not lead holds its reply back until it knows
	// the leader of a later term; 0 is for a reply at once.
	Term uint64 `cbor:",omitempty"`
}

// ContactReply answers a ContactRequest. Its size does not depend on that of the setup.
type ContactReply struct {
	// Leader is the leader's address, "" while none is known, and Term its term.
	Leader string
	Term   uint64
	// Members are the addresses of the group's members.
	Members []string
	// HasSetup says that there is a setup, with the version and the limits that follow.
	HasSetup     bool
	SetupVersion uint64
	Limits       mill.CallLimits
}

// FollowRequest is the ContactRequest of the earlier build.
type FollowRequest ContactRequest

// FollowReply answers a FollowRequest.
type FollowReply struct {
	// Setup is nil when there is no newer one. It holds the version and the limits alone, but all when a process of the
	// earlier build answers.
	Setup   *mill.Setup
	Leader  string
	Term    uint64
	Members []string
}

// WorkerUpdate is an update about a worker that a core process forwards to others.
type WorkerUpdate struct {
	Status *mill.WorkerStatus `cbor:",omitempty"`
	// AgeMilli is how long ago the status was received from the worker.
	AgeMilli int64 `cbor:",omitempty"`
	// Removed is the id of a worker that shuts down.
	Removed string `cbor:",omitempty"`
}

// AdviseRequest has the receiver ask the advisor.
type AdviseRequest struct {
	Step    mill.StepID
	Workers []string
	// LimitMilli is how long the reply may take.
	LimitMilli int64
}

// AdviseReply answers an AdviseRequest.
type AdviseReply struct {
	Advice mill.Advice
}
