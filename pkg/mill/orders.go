package mill

import (
	"context"
	"time"
)

// WorkerRef identifies a worker and the address at which it takes calls.
type WorkerRef struct {
	ID      string
	Address string
}

// StartOrder tells a worker to start a run of a task.
type StartOrder struct {
	Task TaskID
	Run  int
	Spec string
	// LeaseExpiryMilli is when the worker's leases expire, by its own clock; it never shortens a lease.
	LeaseExpiryMilli int64
	// FencingToken is the fencing token of the scheduler that sends the order.
	FencingToken uint64
	// Checkpoint is where the task resumes; "" starts it from the beginning.
	Checkpoint string
	// Ticket proves that the advisor allows the worker; "" where no advice is needed.
	Ticket string
}

// RunRef identifies one run of a task.
type RunRef struct {
	Task TaskID
	Run  int
}

// OrderOutcome is the outcome of an order, as far as the worker's reply says.
type OrderOutcome uint8

// The outcomes of an order.
const (
	// OutcomeUnanswered means that the order may have been carried out or may yet be.
	OutcomeUnanswered OrderOutcome = iota
	// OutcomeAccepted means that the worker carries the order out, or already has.
	OutcomeAccepted
	// OutcomeFenced means that the worker knows a newer fencing token.
	OutcomeFenced
	// OutcomeFinished means that the run, or a later run of the task, has already finished there.
	OutcomeFinished
	// OutcomeExpired means that the order's lease had expired when it arrived.
	OutcomeExpired
	// OutcomeNoCapacity means that the worker has not enough free capacity.
	OutcomeNoCapacity
	// OutcomeNoTicket means that the ticket is missing or has expired.
	OutcomeNoTicket
	// OutcomeUnhealthy means that the worker did not act on the order because it is unhealthy.
	OutcomeUnhealthy
	// OutcomeWorkerReplaced means that another worker answers at the address: the intended one has terminated.
	OutcomeWorkerReplaced
	// OutcomeInvalid means that the worker could not read the order.
	OutcomeInvalid
	// OutcomeUnreachable means that the worker could not be connected to, so nothing of the order was sent to it, and
	// nothing of it will be.
	OutcomeUnreachable
	// OutcomeNotSent means the same, but for a reason that says nothing about the worker.
	OutcomeNotSent
	// OutcomeNotListening means the same as OutcomeUnreachable, and that the worker's host has refused the connection, since
	// no process listens at the address.
	OutcomeNotListening
)

var orderOutcomeNames = [...]string{
	"unanswered", "accepted", "fenced", "ended", "late", "noRoom", "noTicket", "unhealthy", "gone", "invalid",
	"unreachable", "notSent", "notListening",
}

// Stopped reports whether a worker that replies so to a stop order has stopped the run, or is about to. Any other reply
// leaves the run as it was.
func (o OrderOutcome) Stopped() bool {
	return o == OutcomeAccepted || o == OutcomeFinished
}

// Transient reports whether an order with this outcome has not been carried out, but may be if it is sent again soon.
func (o OrderOutcome) Transient() bool {
	return o == OutcomeUnhealthy || o == OutcomeNotSent
}

// String returns the outcome's name in logs.
func (o OrderOutcome) String() string {
	if int(o) < len(orderOutcomeNames) {
		return orderOutcomeNames[o]
	}

	return "unknown"
}

// OrderReply is a worker's reply to an order.
type OrderReply struct {
	Outcome OrderOutcome
	// ClockMilli is the worker's monotonic clock when it replied; 0 if it did not reply.
	ClockMilli int64
}

// FinishCause is why a run finished.
type FinishCause string

// The causes for which a run finishes.
const (
	FinishDone    FinishCause = "done"
	FinishFailed  FinishCause = "failed"
	FinishStopped FinishCause = "stopped"
	// FinishLeaseExpired means that the run's lease expired or its worker terminated.
	FinishLeaseExpired FinishCause = "lapsed"
	// FinishWorkerCrashed means that the run's worker ended without notice while the run was active.
	FinishWorkerCrashed FinishCause = "crashed"
	// FinishGangMemberLost means that another member of the run's gang was lost.
	FinishGangMemberLost FinishCause = "broken"
	// FinishGangTimeout means that the run timed out waiting for the other members of its gang.
	FinishGangTimeout FinishCause = "alone"
	// FinishNotStarted means that the run never started and never will.
	FinishNotStarted FinishCause = "notStarted"
)

// RunStatus is the status of one run on a worker.
type RunStatus struct {
	RunRef

	// Checkpoint is the latest one; "" for none.
	Checkpoint string
	// Percent is the task's progress; 100 for a long-running task that is at work.
	Percent float64
	// Gauge is the tail latency of a serving task in milliseconds; for other tasks it is the number of cores
	// in use, in thousandths.
	Gauge float64
}

// FinishedRun is a finished run, which its worker lists until it is acknowledged.
type FinishedRun struct {
	RunRef

	// Number counts the finished runs of one incarnation of the worker, from 1.
	Number     uint64
	Cause      FinishCause
	Checkpoint string
}

// RenewOrder renews a worker's leases and asks for its running and finished runs.
type RenewOrder struct {
	FencingToken uint64
	// Acknowledged is the number up to which finished runs are acknowledged.
	Acknowledged uint64
	// LeaseExpiryMilli is when the leases expire, by the worker's clock; 0 leaves them unchanged.
	LeaseExpiryMilli int64
	// Wait is how long the worker may delay its reply until a run finishes.
	Wait time.Duration
}

// RenewReply is a worker's reply to a RenewOrder.
type RenewReply struct {
	OrderReply

	StartUnixMilli int64
	Running        []RunStatus
	Finished       []FinishedRun
}

// PaceOrder limits the share of its full rate at which a run may work.
type PaceOrder struct {
	RunRef

	FencingToken uint64
	Percent      int
}

// WorkerOrders sends orders to workers. An order whose context ends first
// remains unanswered, which is an outcome and not an error.
type WorkerOrders interface {
	Start(ctx context.Context, to WorkerRef, order *StartOrder) OrderReply
	Stop(ctx context.Context, to WorkerRef, run RunRef, token uint64) OrderReply
	Renew(ctx context.Context, to WorkerRef, order *RenewOrder) RenewReply
	Pace(ctx context.Context, to WorkerRef, order *PaceOrder) OrderReply
}
