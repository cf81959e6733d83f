package sched

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// The methods of a scheduler.
const (
	MethodHeartbeat = "sched.Heartbeat"
	MethodWorkers   = "sched.Workers"
	MethodExplain   = "sched.Explain"
)

// WorkersRequest asks for the workers of a data centre.
type WorkersRequest struct{}

// WorkersReply holds the workers as the active scheduler sees them.
type WorkersReply struct {
	Workers []WorkerStatus
}

// WorkerStatus is a worker with what it has free.
type WorkerStatus struct {
	ID       string         `json:"id"`
	Rack     string         `json:"rack"`
	Capacity mill.Resources `json:"capacity"`
	Free     mill.Resources `json:"free"`
	Tasks    int            `json:"tasks"`
	Live     bool           `json:"live"`
}

// ExplainRequest asks why a job waits.
type ExplainRequest struct {
	Job string
}

// ExplainReply says why a job waits, by counts of workers.
type ExplainReply struct {
	Job      string `json:"job"`
	Pending  int    `json:"pending"`
	Workers  int    `json:"workers"`
	TooSmall int    `json:"tooSmall"`
	Full     int    `json:"full"`
	Fits     int    `json:"fits"`
	Verdict  string `json:"verdict"`
}
