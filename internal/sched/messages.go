package sched

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// The RPC methods of a scheduler.
const (
	MethodHeartbeat = "sched.Heartbeat"
	MethodWorkers   = "sched.Workers"
	MethodExplain   = "sched.Explain"
)

// WorkersRequest asks for the workers of a data centre.
type WorkersRequest struct{}

// WorkersReply lists the workers as the active scheduler knows them.
type WorkersReply struct {
	Workers []WorkerStatus
}

// WorkerStatus describes a worker with its free capacity.
type WorkerStatus struct {
	ID       string         `json:"id"`
	Rack     string         `json:"rack"`
	Capacity mill.Resources `json:"capacity"`
	Free     mill.Resources `json:"free"`
	Tasks    int            `json:"tasks"`
	Live     bool           `json:"live"`
}

// ExplainRequest asks why a job is waiting.
type ExplainRequest struct {
	Job string
}

// ExplainReply explains why a job is waiting. Of the live workers, TooSmall could never run a task of
// the job, Full lack the free capacity now, and Fits have it.
type ExplainReply struct {
	Job      string `json:"job"`
	Pending  int    `json:"pending"`
	Workers  int    `json:"workers"`
	TooSmall int    `json:"tooSmall"`
	Full     int    `json:"full"`
	Fits     int    `json:"fits"`
	Verdict  string `json:"verdict"`
}
