package mill

import (
	"context"
	"time"
)

// WorkerRef says where a worker can be called.
type WorkerRef struct {
	ID      string
	Address string
}

// StartOrder tells a worker to start a run of a task.
type StartOrder struct {
	Task TaskID
	Run  int
	Spec string
	// UntilMilli is when the worker's leases end, by its own clock; it never shortens one.
	UntilMilli int64
	// Fence is the fencing token of the scheduler that gives the order.
	Fence uint64
	// Checkpoint resumes the task; "" starts from the beginning.
	Checkpoint string
	// Ticket proves that the advisor allows the worker; "" where no advice is needed.
	Ticket string
}

// RunRef names one run of a task.
type RunRef struct {
	Task TaskID
	Run  int
}

// OrderOutcome is how a worker answered an order.
type OrderOutcome uint8

// The outcomes of an order.
const (
	// OutcomeUnanswered leaves open whether the order was or will be carried out.
	OutcomeUnanswered OrderOutcome = iota
	// OutcomeAccepted means that the order is carried out, now or earlier.
	OutcomeAccepted
	// OutcomeFenced means that the worker knows a newer fencing token.
	OutcomeFenced
	// OutcomeEnded means that the run, or a later one, has already been ended there.
	OutcomeEnded
	// OutcomeLate means that the order's lease had run out on arrival.
	OutcomeLate
	// OutcomeNoRoom means that the worker has not enough free capacity.
	OutcomeNoRoom
	// OutcomeNoTicket means that the ticket is missing or has expired.
	OutcomeNoTicket
	// OutcomeUnhealthy means that the worker did nothing because it is unwell.
	OutcomeUnhealthy
	// OutcomeGone means that another worker lives at the address: the one that was meant has ended.
	OutcomeGone
	// OutcomeInvalid means that the worker could not read the order.
	OutcomeInvalid
)

var outcomeNames = [...]string{
	"unanswered", "accepted", "fenced", "ended", "late", "noRoom", "noTicket", "unhealthy", "gone", "invalid",
}

// String returns the outcome's name in logs.
func (o OrderOutcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}

	return "unknown"
}

// OrderReply is a worker's answer to an order.
type OrderReply struct {
	Outcome OrderOutcome
	// ClockMilli is the worker's steady clock when it answered; 0 without an answer.
	ClockMilli int64
}

// EndCause is how a run ended.
type EndCause string

// The causes of a run's end.
const (
	EndDone    EndCause = "done"
	EndFailed  EndCause = "failed"
	EndStopped EndCause = "stopped"
	// EndLapsed runs had their lease expire, or their worker end.
	EndLapsed EndCause = "lapsed"
	// EndBroken runs lost another member of their gang.
	EndBroken EndCause = "broken"
	// EndAlone runs waited too long for the other members of their gang.
	EndAlone EndCause = "alone"
	// EndNotStarted runs never began and never will.
	EndNotStarted EndCause = "notStarted"
)

// RunningRow is one run that a worker has.
type RunningRow struct {
	RunRef

	// Checkpoint is the latest one; "" for none.
	Checkpoint string
	// Percent is how far the task is; 100 for a lasting task at work.
	Percent float64
	// Gauge is the tail of a serving task's response times in milliseconds, or else its cores in use in thousandths.
	Gauge float64
}

// EndedRow is one end of a run that a worker lists until it is acknowledged.
type EndedRow struct {
	RunRef

	// Number rises from 1 within a worker's life.
	Number     uint64
	Cause      EndCause
	Checkpoint string
}

// RenewOrder extends a worker's leases and asks what runs and what has ended.
type RenewOrder struct {
	Fence uint64
	// Seen acknowledges the ends up to this number.
	Seen uint64
	// UntilMilli is when the leases end, by the worker's clock; 0 leaves them as they are.
	UntilMilli int64
	// Wait is how long the worker may hold back its answer until something ends.
	Wait time.Duration
}

// RenewReply is a worker's answer to a RenewOrder.
type RenewReply struct {
	OrderReply

	BornUnixMilli int64
	Running       []RunningRow
	Ended         []EndedRow
}

// PaceOrder limits how much a task may work.
type PaceOrder struct {
	RunRef

	Fence   uint64
	Percent int
}

// WorkerOrders gives orders to workers. A context that ends leaves an order
// unanswered, which is an outcome and not an error.
type WorkerOrders interface {
	Start(ctx context.Context, to WorkerRef, order *StartOrder) OrderReply
	Stop(ctx context.Context, to WorkerRef, run RunRef, fence uint64) OrderReply
	Renew(ctx context.Context, to WorkerRef, order *RenewOrder) RenewReply
	Pace(ctx context.Context, to WorkerRef, order *PaceOrder) OrderReply
}
