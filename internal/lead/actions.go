package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Actions is what the scheduler wants done after a plan.
type Actions struct {
	// Commands are to be committed to the replicated log together, in order; nil for none.
	Commands       []jobs.Command
	Starts         []Start
	Stops          []Stop
	Renews         []Renew
	Paces          []Pace
	AdviceRequests []AdviceRequest
	Maintenance    []Maintenance
	// ListMachines requests the provider's list of machines.
	ListMachines bool
}

// Start is an order to start a run.
type Start struct {
	To    mill.WorkerRef
	Order mill.StartOrder
	// epoch is that of the worker's incarnations.
	epoch uint64
}

// Stop is an order to stop a run.
type Stop struct {
	To           mill.WorkerRef
	Run          mill.RunRef
	FencingToken uint64
	// epoch is that of the worker's incarnations.
	epoch uint64
}

// Renew is an order to extend a worker's leases and to send a report.
type Renew struct {
	To    mill.WorkerRef
	Order mill.RenewOrder
	// epoch is that of the worker's incarnations.
	epoch uint64
}

// Pace is an order to throttle a run or to lift its throttling.
type Pace struct {
	To    mill.WorkerRef
	Order mill.PaceOrder
	// epoch is that of the worker's incarnations.
	epoch uint64
}

// Maintenance is an order to begin a machine's maintenance.
type Maintenance struct {
	Wave         int
	Machine      string
	FencingToken uint64
}

// AdviceRequest is a request to the advisor, sent through the process at Address.
type AdviceRequest struct {
	Address string
	Step    mill.StepID
	Queue   string
	Workers []string
	// Timeout is how long the reply may take.
	Timeout time.Duration
}
