package jobs

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// Command is a change of the state; exactly one field is set.
type Command struct {
	Setup  *mill.Setup `cbor:"1,keyasint,omitempty"`
	Submit *Submit     `cbor:"2,keyasint,omitempty"`
	Cancel *Cancel     `cbor:"3,keyasint,omitempty"`
	Place  *Place      `cbor:"4,keyasint,omitempty"`
	Finish *Finish     `cbor:"5,keyasint,omitempty"`
	// RecordWorker records the stable fields of a worker's status, those that do not change with every report.
	RecordWorker *mill.WorkerStatus `cbor:"6,keyasint,omitempty"`
	// ForgetWorker deletes the record of the worker with this id.
	ForgetWorker string `cbor:"7,keyasint,omitempty"`
	// StartWave accepts a maintenance wave.
	StartWave *mill.Wave `cbor:"8,keyasint,omitempty"`
	// SettleMachine records that a machine of a wave has begun its maintenance, or will not have any.
	SettleMachine *SettleMachine `cbor:"9,keyasint,omitempty"`
	// RecordLearned records what the leader has learned about workers and queues. Earlier builds ignore it.
	RecordLearned *Learned `cbor:"10,keyasint,omitempty"`
}

// Submit accepts a job under an id chosen by the caller.
type Submit struct {
	Job   string        `cbor:"1,keyasint"`
	Queue string        `cbor:"2,keyasint"`
	Work  mill.Workload `cbor:"3,keyasint"`
	// UnixMilli is when the proposer received the job, by its wall clock.
	UnixMilli int64 `cbor:"4,keyasint"`
	// Tenant is the name of the tenant that the job belongs to; "" for none.
	Tenant string `cbor:"5,keyasint,omitempty"`
	// BeyondShare means that the tenant had submitted more than its share when the job was accepted.
	BeyondShare bool `cbor:"6,keyasint,omitempty"`
	// Route is the queue that the request has selected; nil in entries of earlier builds. Earlier builds ignore it and take
	// the first queue named Queue.
	Route *SelectedRoute `cbor:"7,keyasint,omitempty"`
}

// SelectedRoute is the queue that a request has selected by its host and path.
type SelectedRoute struct {
	Host   string `cbor:"1,keyasint,omitempty"`
	Prefix string `cbor:"2,keyasint,omitempty"`
	// Queue is the queue's configuration if others have its name, in case that it is removed before the entry is committed.
	Queue *mill.Queue `cbor:"3,keyasint,omitempty"`
}

// NewSelectedRoute returns what a submission to a queue of a setup tells of it.
func NewSelectedRoute(setup *mill.SetupIndex, queue *mill.Queue) *SelectedRoute {
	route := &SelectedRoute{Host: queue.Host, Prefix: queue.Prefix}
	if setup.SharesName(queue.Name) {
		route.Queue = queue
	}

	return route
}

// Cancel cancels a job; it has no effect on a finished one.
type Cancel struct {
	Job string `cbor:"1,keyasint"`
}

// Place assigns a run of a task to a worker, which may then be ordered to start it.
type Place struct {
	Task   mill.TaskID `cbor:"1,keyasint"`
	Run    int         `cbor:"2,keyasint"`
	Worker string      `cbor:"3,keyasint"`
}

// Finish records that a run has finished, and why.
type Finish struct {
	Task       mill.TaskID      `cbor:"1,keyasint"`
	Run        int              `cbor:"2,keyasint"`
	Cause      mill.FinishCause `cbor:"3,keyasint"`
	Checkpoint string           `cbor:"4,keyasint,omitempty"`
	// Suspicion is how strongly the run is suspected of having crashed its worker. Cleared means that the run was seen
	// at work, so that the earlier suspicion of its task was wrong. GivesUp means that the job fails with this run.
	Suspicion int  `cbor:"5,keyasint,omitempty"`
	Cleared   bool `cbor:"6,keyasint,omitempty"`
	GivesUp   bool `cbor:"7,keyasint,omitempty"`
	// MemberFailed means that the run has failed, but does not count as a failed attempt; see GangRun.
	MemberFailed bool `cbor:"8,keyasint,omitempty"`
	// Attempts is the number of failed attempts of a gang that the leader counts with this run, if it has failed.
	Attempts int `cbor:"9,keyasint,omitempty"`
}

// SettleMachine marks one machine of a wave as settled.
type SettleMachine struct {
	Wave    int    `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
}

// Result is the result of applying a command.
type Result uint8

// The results of commands.
const (
	// ResultApplied means that the command has taken effect, now or when it was applied before.
	ResultApplied Result = iota + 1
	// ResultObsolete means that the command no longer fits the state and has changed nothing.
	ResultObsolete
	// ResultNoQueue means that the setup in force does not have the queue of the submission.
	ResultNoQueue
	// ResultNotFound means that the job is unknown.
	ResultNotFound
	// ResultUnreadable means that the command was not logged because it could not be decoded again.
	ResultUnreadable
)
