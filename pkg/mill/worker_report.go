package mill

import (
	"slices"
	"time"
)

// WorkerReport is one report of a worker.
type WorkerReport struct {
	Status *WorkerStatus
	// Running and Finished are the worker's running and finished runs. Only a worker that takes
	// its orders from the replies to its reports lists them.
	Running  []RunStatus
	Finished []FinishedRun
}

// Lists reports whether a run is among the running or finished runs.
func (r *WorkerReport) Lists(run RunRef) bool {
	return slices.ContainsFunc(r.Running, func(row RunStatus) bool { return row.RunRef == run }) ||
		slices.ContainsFunc(r.Finished, func(row FinishedRun) bool { return row.RunRef == run })
}

// ReportReply is the reply to a report.
type ReportReply struct {
	// ReportTo is the internal address of the process that should get later reports; "" for any.
	ReportTo string
	// Orders is nil if orders are sent by calls or if this process sends none.
	Orders *OrderBatch
}

// OrderBatch holds the orders that a worker receives in the reply to a report.
type OrderBatch struct {
	// FencingToken is the fencing token of all the orders.
	FencingToken uint64
	// Acknowledged is the number up to which finished runs are acknowledged.
	Acknowledged uint64
	// Lease is how long the worker keeps its runs, from when it reads the reply; 0
	// leaves their leases unchanged.
	Lease  time.Duration
	Starts []StartOrder
	Stops  []RunRef
	// ReportAfter is the delay until the worker's next report; 0 for its usual interval.
	ReportAfter time.Duration
}
