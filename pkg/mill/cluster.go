package mill

import (
	"context"
	"time"
)

// JobState is where a job stands.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCanceled  JobState = "canceled"
)

// Over reports whether the job will not change any more.
func (s JobState) Over() bool {
	return s == JobCompleted || s == JobFailed || s == JobCanceled
}

// Verdict is how a submission ended.
type Verdict uint8

// The verdicts on a submission.
const (
	// VerdictUnknown leaves open whether the job was accepted.
	VerdictUnknown Verdict = iota
	// VerdictAccepted means that the job is stored, by this call or an earlier one.
	VerdictAccepted
	// VerdictRefused means that this call has stored nothing and will not.
	VerdictRefused
	// VerdictNoQueue means that no queue takes the request.
	VerdictNoQueue
)

// Receipt answers a submission.
type Receipt struct {
	Verdict Verdict
	// RetryAfter is when a refused caller should ask again; 0 when there is no telling.
	RetryAfter time.Duration
	// Reason tells a person why a job was refused.
	Reason string
}

// JobQueues is what callers need of the system; host and path select the queue.
// Every method returns ErrUnavailable when it has no answer in time.
type JobQueues interface {
	Submit(ctx context.Context, host, path string, work *Workload) (Receipt, error)
	// State returns ErrNotFound for a job, and ErrNoQueue for a queue, that is not known.
	State(ctx context.Context, host, path string) (JobState, error)
	// Cancel returns what State does.
	Cancel(ctx context.Context, host, path string) error
	// Pending counts the queue's accepted jobs of which nothing has started.
	Pending(ctx context.Context, host, path string) (int, error)
	// Limits returns the bounds of callers' requests, or false before there is a setup.
	Limits() (CallLimits, bool)
}

// Control is what operators and workers need of the system.
type Control interface {
	// Configure stores a setup; one that is no newer than that in force is accepted and changes nothing.
	Configure(ctx context.Context, setup *Setup) error
	// CurrentSetup returns the newest setup, or ErrUnavailable when this process cannot be sure which it is.
	CurrentSetup(ctx context.Context) (*Setup, error)
	// ReportWorker takes note of a worker's report.
	ReportWorker(ctx context.Context, report *WorkerReport) (*ReportReply, error)
	// RemoveWorker takes note of a worker's planned end.
	RemoveWorker(ctx context.Context, id string) error
	// StartWave stores a wave of upkeep; one whose number is known changes nothing.
	StartWave(ctx context.Context, wave *Wave) error
	// WaveComplete reports whether each machine of a wave has begun its upkeep, or returns ErrNotFound.
	WaveComplete(ctx context.Context, number int) (bool, error)
}
