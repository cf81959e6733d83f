package mill

import (
	"slices"
	"time"
)

// WorkerReport is one report of a worker.
type WorkerReport struct {
	Status *WorkerStatus
	// Running and Ended are the worker's running and finished runs. Only a worker that takes
	// its orders from the replies to its reports lists them.
	Running []RunningRow
	Ended   []EndedRow
}

// Lists reports whether a run is among the running or finished runs.
func (r *WorkerReport) Lists(run RunRef) bool {
	return slices.ContainsFunc(r.Running, func(row RunningRow) bool { return row.RunRef == run }) ||
		slices.ContainsFunc(r.Ended, func(row EndedRow) bool { return row.RunRef == run })
}

// ReportReply is the reply to a report.
type ReportReply struct {
	// ReportTo is the internal address of the process that should get later reports; "" for any.
	ReportTo string
	// Orders is nil if orders are sent by calls or if this process sends none.
	Orders *OrderSheet
}

// OrderSheet holds the orders that a worker receives in the reply to a report.
type OrderSheet struct {
	// Fence is the fencing token of all the orders.
	Fence uint64
	// Seen acknowledges the finished runs up to this number.
	Seen uint64
	// Lease is how long the worker keeps its runs, from when it reads the reply; 0
	// leaves their leases unchanged.
	Lease  time.Duration
	Starts []StartOrder
	Stops  []RunRef
	// Again is the delay until the worker's next report; 0 for its usual interval.
	Again time.Duration
}
