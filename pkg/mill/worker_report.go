package mill

import (
	"slices"
	"time"
)

// WorkerReport is one report of a worker.
type WorkerReport struct {
	Status *WorkerStatus
	// Running and Ended are what runs and what has ended there; only a worker that takes
	// its orders from the answers to its reports lists them.
	Running []RunningRow
	Ended   []EndedRow
}

// Lists reports whether a run is among those that run or have ended.
func (r *WorkerReport) Lists(run RunRef) bool {
	return slices.ContainsFunc(r.Running, func(row RunningRow) bool { return row.RunRef == run }) ||
		slices.ContainsFunc(r.Ended, func(row EndedRow) bool { return row.RunRef == run })
}

// ReportReply is the answer to a report.
type ReportReply struct {
	// ReportTo is the address between processes of the one that should get later reports; "" for any.
	ReportTo string
	// Orders is nil where orders are given by calls, and where this process gives none.
	Orders *OrderSheet
}

// OrderSheet holds the orders that a worker finds in the answer to a report.
type OrderSheet struct {
	// Fence is the fencing token of all the orders.
	Fence uint64
	// Seen acknowledges the ends up to this number.
	Seen uint64
	// Lease is how long the worker keeps its runs, from when it reads the answer; 0
	// leaves their leases as they are.
	Lease  time.Duration
	Starts []StartOrder
	Stops  []RunRef
	// Again is when the worker should report again; 0 for its usual time.
	Again time.Duration
}
