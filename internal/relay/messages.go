package relay

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The names of the streams.
const (
	// MethodOrder carries orders to a relay.
	MethodOrder = "relay.order"
	// MethodReply carries replies to the scheduling process.
	MethodReply = "relay.reply"
)

// kind says what an Order asks for.
type kind uint8

const (
	// kindPing asks for a sign of life and tells the relay the sender's address.
	kindPing kind = iota
	kindStart
	kindStop
	kindRenew
	kindPace
)

// Order is an order for a worker, or a ping, on its way to a relay.
type Order struct {
	_ struct{} `cbor:",toarray"`

	Kind kind
	// Term is the term of leadership of the process that sends the order.
	Term uint64
	// Number identifies the order in its reply. It is unique in the process that sends the order.
	Number uint64
	// From is the address that replies are sent to; it is set in pings only.
	From string
	// SentMilli is when the order was sent, by the relay's clock; 0 if that clock is not known yet.
	SentMilli int64
	// LimitMilli is how long the relay may take.
	LimitMilli int64
	Worker     string
	Address    string
	Task       mill.TaskID
	Run        int
	Spec       string
	// LeaseExpiryMilli, FencingToken, Checkpoint, Ticket, Acknowledged and Percent are as in the orders of
	// package mill.
	LeaseExpiryMilli int64
	FencingToken     uint64
	Checkpoint       string
	Ticket           string
	Acknowledged     uint64
	WaitMilli        int64
	Percent          int
}

func (o *Order) to() mill.WorkerRef {
	return mill.WorkerRef{ID: o.Worker, Address: o.Address}
}

func (o *Order) start() *mill.StartOrder {
	return &mill.StartOrder{
		Task:             o.Task,
		Run:              o.Run,
		Spec:             o.Spec,
		LeaseExpiryMilli: o.LeaseExpiryMilli,
		FencingToken:     o.FencingToken,
		Checkpoint:       o.Checkpoint,
		Ticket:           o.Ticket,
	}
}

func (o *Order) renew() *mill.RenewOrder {
	return &mill.RenewOrder{
		FencingToken:     o.FencingToken,
		Acknowledged:     o.Acknowledged,
		LeaseExpiryMilli: o.LeaseExpiryMilli,
		Wait:             time.Duration(o.WaitMilli) * time.Millisecond,
	}
}

func (o *Order) run() mill.RunRef {
	return mill.RunRef{Task: o.Task, Run: o.Run}
}

// Reply is the reply to an Order.
type Reply struct {
	_ struct{} `cbor:",toarray"`

	Number uint64
	// Relay is the address of the relay, set in replies to pings only.
	Relay string
	// RelayMilli is the relay's clock when it sent the reply to a ping, and 0 in other replies.
	RelayMilli int64
	Outcome    mill.OrderOutcome
	// ClockMilli and StartUnixMilli are as in mill.RenewReply.
	ClockMilli     int64
	StartUnixMilli int64
	Running        []runningRow
	Finished       []finishedRow
}

func (r *Reply) order() mill.OrderReply {
	return mill.OrderReply{Outcome: r.Outcome, ClockMilli: r.ClockMilli}
}

func (r *Reply) renewal() mill.RenewReply {
	reply := mill.RenewReply{
		OrderReply:     r.order(),
		StartUnixMilli: r.StartUnixMilli,
		Running:        make([]mill.RunStatus, 0, len(r.Running)),
		Finished:       make([]mill.FinishedRun, 0, len(r.Finished)),
	}

	for i := range r.Running {
		row := &r.Running[i]
		reply.Running = append(reply.Running, mill.RunStatus{
			RunRef: mill.RunRef{Task: row.Task, Run: row.Run}, Checkpoint: row.Checkpoint, Percent: row.Percent, Gauge: row.Gauge,
		})
	}

	for i := range r.Finished {
		row := &r.Finished[i]
		reply.Finished = append(reply.Finished, mill.FinishedRun{
			RunRef: mill.RunRef{Task: row.Task, Run: row.Run}, Number: row.Number, Cause: row.Cause, Checkpoint: row.Checkpoint,
		})
	}

	return reply
}

func newRenewReply(number uint64, reply *mill.RenewReply) Reply {
	message := Reply{
		Number:         number,
		Outcome:        reply.Outcome,
		ClockMilli:     reply.ClockMilli,
		StartUnixMilli: reply.StartUnixMilli,
		Running:        make([]runningRow, 0, len(reply.Running)),
		Finished:       make([]finishedRow, 0, len(reply.Finished)),
	}

	for i := range reply.Running {
		s := &reply.Running[i]
		message.Running = append(message.Running, runningRow{
			Task: s.Task, Run: s.Run, Checkpoint: s.Checkpoint, Percent: s.Percent, Gauge: s.Gauge,
		})
	}

	for i := range reply.Finished {
		f := &reply.Finished[i]
		message.Finished = append(message.Finished, finishedRow{
			Number: f.Number, Task: f.Task, Run: f.Run, Cause: f.Cause, Checkpoint: f.Checkpoint,
		})
	}

	return message
}

// runningRow is a mill.RunStatus, encoded without field names.
type runningRow struct {
	_ struct{} `cbor:",toarray"`

	Task       mill.TaskID
	Run        int
	Checkpoint string
	Percent    float64
	Gauge      float64
}

// finishedRow is a mill.FinishedRun, encoded without field names.
type finishedRow struct {
	_ struct{} `cbor:",toarray"`

	Number     uint64
	Task       mill.TaskID
	Run        int
	Cause      mill.FinishCause
	Checkpoint string
}
