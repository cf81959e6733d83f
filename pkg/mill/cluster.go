package mill

import (
	"context"
	"time"
)

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCanceled  JobState = "canceled"
)

// Final reports whether a job in this state never changes again.
func (s JobState) Final() bool {
	return s == JobCompleted || s == JobFailed || s == JobCanceled
}

// Verdict is the outcome of a submission.
type Verdict uint8

// The verdicts on a submission.
const (
	// VerdictUnknown means that the job may or may not have been accepted.
	VerdictUnknown Verdict = iota
	// VerdictAccepted means that the job is stored, by this call or an earlier one.
	VerdictAccepted
	// VerdictRefused means that this call has stored nothing and never will.
	VerdictRefused
	// VerdictNoQueue means that no queue matches the request.
	VerdictNoQueue
	// VerdictUnauthenticated means that no tenant has the call's key.
	VerdictUnauthenticated
	// VerdictForbidden means that the key's tenant may not make the call.
	VerdictForbidden
	// VerdictBeyondShare means that this call has stored nothing and never will, because its tenant sends more
	// than its share while there is no room.
	VerdictBeyondShare
)

// Receipt is the reply to a submission.
type Receipt struct {
	Verdict Verdict
	// RetryAfter is how long a refused caller should wait before it retries; 0 if unknown.
	RetryAfter time.Duration
	// Reason is a human-readable explanation of a refusal.
	Reason string
}

// Target is what a caller's call is about. The host and the longest matching prefix of the path select the
// queue; the rest of the path is the job's id, and is empty for Pending.
type Target struct {
	Host string
	Path string
	// Key is the tenant's key that the call carries, or "".
	Key APIKey
}

// JobQueues is the interface that callers use. Every method that returns an error returns ErrUnavailable when
// it gets no reply in time.
type JobQueues interface {
	Submit(ctx context.Context, target Target, work *Workload) (Receipt, error)
	// State returns ErrNoQueue for an unknown queue, ErrUnauthenticated without a key that the queue takes,
	// ErrNotFound for an unknown job and ErrForbidden for a job of another tenant.
	State(ctx context.Context, target Target) (JobState, error)
	// Cancel returns the same errors as State.
	Cancel(ctx context.Context, target Target) error
	// Pending returns the number of the queue's accepted jobs that have not started any task.
	Pending(ctx context.Context, target Target) (int, error)
	// Limits returns the limits on callers' requests, or false before the first setup.
	Limits() (CallLimits, bool)
}

// Control is the interface that operators and workers use.
type Control interface {
	// Configure stores a setup. One that is no newer than the setup in force is accepted without effect.
	Configure(ctx context.Context, setup *Setup) error
	// CurrentSetup returns the version, limits and document of the newest setup, or ErrUnavailable when this process cannot
	// be sure which one that is.
	CurrentSetup(ctx context.Context) (*Setup, error)
	// ReportWorker records a worker's report.
	ReportWorker(ctx context.Context, report *WorkerReport) (*ReportReply, error)
	// RemoveWorker records a worker's planned shutdown.
	RemoveWorker(ctx context.Context, id string) error
	// StartWave stores a maintenance wave. One whose number is already known has no effect.
	StartWave(ctx context.Context, wave *Wave) error
	// WaveComplete reports whether every machine of a wave has begun its maintenance or no longer exists. It
	// returns ErrNotFound for an unknown wave.
	WaveComplete(ctx context.Context, number int) (bool, error)
}
