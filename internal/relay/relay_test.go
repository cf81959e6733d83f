package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrymill/cranberrymill/internal/boot"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// recorder records the orders that reach workers, and replies with a clock that identifies it.
type recorder struct {
	clock int64
	// hold delays the replies until it is closed, if it is not nil.
	hold chan struct{}

	mu     sync.Mutex
	starts []mill.StartOrder
	stops  []mill.RunRef
}

func (r *recorder) Start(ctx context.Context, _ mill.WorkerRef, order *mill.StartOrder) mill.OrderReply {
	r.mu.Lock()
	r.starts = append(r.starts, *order)
	r.mu.Unlock()

	if r.hold != nil {
		select {
		case <-r.hold:
		case <-ctx.Done():
			return mill.OrderReply{}
		}
	}

	return mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: r.clock}
}

func (r *recorder) Stop(_ context.Context, _ mill.WorkerRef, run mill.RunRef, _ uint64) mill.OrderReply {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.stops = append(r.stops, run)

	return mill.OrderReply{Outcome: mill.OutcomeFinished, ClockMilli: r.clock}
}

func (r *recorder) Renew(_ context.Context, to mill.WorkerRef, order *mill.RenewOrder) mill.RenewReply {
	return mill.RenewReply{
		OrderReply:     mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: order.LeaseExpiryMilli},
		StartUnixMilli: int64(order.Wait),
		Running:        []mill.RunStatus{{RunRef: testRun(2), Checkpoint: to.ID, Percent: 12.5, Gauge: 3}},
		Finished: []mill.FinishedRun{{
			RunRef: testRun(1), Number: order.Acknowledged + 1, Cause: mill.FinishDone, Checkpoint: "c",
		}},
	}
}

func (r *recorder) Pace(_ context.Context, _ mill.WorkerRef, order *mill.PaceOrder) mill.OrderReply {
	return mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: int64(order.Percent)}
}

func (r *recorder) startCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return len(r.starts)
}

func testRun(run int) mill.RunRef {
	return mill.RunRef{Task: mill.StepID{Job: "5c0e7a21d94b36f8", Step: 1}.Task(3), Run: run}
}

// process is a process on loopback with a Sender and a Server. Both call workers by the recorder.
type process struct {
	address string
	sender  *Sender
	server  *Server
	workers *recorder
	stop    context.CancelFunc
}

func newProcess(t *testing.T, clock int64) *process {
	t.Helper()

	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	pool, err := ants.NewPool(64, ants.WithNonblocking(true))
	assert.NilError(t, err)
	t.Cleanup(pool.Release)

	p := &process{address: listener.Addr().String(), workers: &recorder{clock: clock}, stop: stop}
	client := wire.NewClient()
	p.sender = NewSender(ctx, p.address, client, p.workers, func(string) string { return "dc1" }, nil)
	p.server = NewServer(ctx, p.address, client, p.workers, pool)

	server := &wire.Server{}
	wire.HandleStream(server, MethodOrder, p.server.Receive)
	wire.HandleStream(server, MethodReply, p.sender.Receive)

	go func() { _ = server.Serve(ctx, listener) }()

	return p
}

// lead has the process lead in a term, with the others as its relays.
func (p *process) lead(t *testing.T, term uint64, relays ...*process) {
	t.Helper()

	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)

	for _, r := range relays {
		p.sender.Add(r.address, "dc1", time.Now())
	}

	go p.sender.Run(ctx, term)

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.usesRelay() {
			return poll.Success()
		}

		return poll.Continue("no relay has answered")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}

func (p *process) usesRelay() bool {
	p.sender.mu.Lock()
	defer p.sender.mu.Unlock()

	return p.sender.choose("dc1", time.Now()) != nil
}

var testWorker = mill.WorkerRef{ID: "w1", Address: "10.0.0.1:80"}

func orderContext(t *testing.T) context.Context {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)

	return ctx
}

// TestOrdersThroughRelay expects that a relay carries each kind of order out with all its fields, and that the reply
// returns with all of its own.
func TestOrdersThroughRelay(t *testing.T) {
	leader, other := newProcess(t, 1), newProcess(t, 2)
	leader.lead(t, 7, other)

	ctx := orderContext(t)
	order := mill.StartOrder{
		Task: testRun(4).Task, Run: 4, Spec: "(text)", LeaseExpiryMilli: 5, FencingToken: 6, Checkpoint: "7", Ticket: "8",
	}

	reply := leader.sender.Start(ctx, testWorker, &order)
	assert.DeepEqual(t, reply, mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: 2})
	assert.DeepEqual(t, other.workers.starts, []mill.StartOrder{order})
	assert.Equal(t, leader.sender.Stop(ctx, testWorker, testRun(4), 6).Outcome, mill.OutcomeFinished)
	assert.DeepEqual(t, other.workers.stops, []mill.RunRef{testRun(4)})
	assert.Equal(t, leader.sender.Pace(ctx, testWorker, &mill.PaceOrder{RunRef: testRun(4), Percent: 40}).ClockMilli, int64(40))

	renew := mill.RenewOrder{FencingToken: 6, Acknowledged: 57, LeaseExpiryMilli: 5, Wait: time.Second}
	direct := other.workers.Renew(ctx, testWorker, &renew)
	assert.DeepEqual(t, leader.sender.Renew(ctx, testWorker, &renew), direct)
	assert.Equal(t, leader.workers.startCount(), 0)
}

// TestRepliesMatchOrders sends many orders at a time and expects each to get its own reply.
func TestRepliesMatchOrders(t *testing.T) {
	leader, other := newProcess(t, 1), newProcess(t, 2)
	leader.lead(t, 7, other)

	ctx := orderContext(t)

	var group sync.WaitGroup

	for i := range 300 {
		group.Go(func() {
			to := mill.WorkerRef{ID: fmt.Sprintf("w%d", i), Address: "10.0.0.1:80"}
			reply := leader.sender.Renew(ctx, to, &mill.RenewOrder{LeaseExpiryMilli: int64(i)})
			assert.Check(t, reply.ClockMilli == int64(i) && reply.Running[0].Checkpoint == to.ID, "%d: %+v", i, reply)
		})
	}

	group.Wait()
}

// TestWithoutRelay expects workers to be called directly where no relay is registered for their data centre, or
// none has answered yet.
func TestWithoutRelay(t *testing.T) {
	leader := newProcess(t, 1)
	leader.sender.Add("127.0.0.1:1", "dc1", time.Now())
	leader.sender.Add(leader.address, "dc1", time.Now())

	reply := leader.sender.Start(orderContext(t), testWorker, &mill.StartOrder{Task: testRun(1).Task, Run: 1})
	assert.DeepEqual(t, reply, mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: 1})
	assert.Equal(t, leader.workers.startCount(), 1)
}

// TestLostRelay stops a relay while it carries out an order. It expects the order to be unanswered, not refused,
// since the relay may have carried it out, and the next one to go to the worker directly.
func TestLostRelay(t *testing.T) {
	leader, other := newProcess(t, 1), newProcess(t, 2)
	other.workers.hold = make(chan struct{})
	leader.lead(t, 7, other)

	replies := make(chan mill.OrderReply, 1)

	go func() {
		replies <- leader.sender.Start(orderContext(t), testWorker, &mill.StartOrder{Task: testRun(1).Task, Run: 1})
	}()

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if other.workers.startCount() == 1 {
			return poll.Success()
		}

		return poll.Continue("the relay has no order")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
	other.stop()

	assert.Equal(t, (<-replies).Outcome, mill.OutcomeUnanswered)

	// The relay may have answered the order while it stopped, so that its silence begins only then.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !leader.sender.relays(other.address) {
			return poll.Success()
		}

		return poll.Continue("the relay is still in use")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))

	reply := leader.sender.Start(orderContext(t), testWorker, &mill.StartOrder{Task: testRun(1).Task, Run: 1})
	assert.DeepEqual(t, reply, mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: 1})
}

// relays reports whether orders go through the relay at an address.
func (s *Sender) relays(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	p, ok := s.peers[address]

	return ok && p.lost != nil
}

// TestSuspendedRelay delivers an order that was sent before the relay was suspended for a second, and expects the
// relay not to carry it out, and the sender to call the worker directly.
func TestSuspendedRelay(t *testing.T) {
	leader, other := newProcess(t, 1), newProcess(t, 2)
	leader.lead(t, 7, other)

	order := &Order{Kind: kindStart, Term: 7, SentMilli: boot.Milli() - time.Second.Milliseconds(), LimitMilli: 400}
	other.server.handle(order, boot.Milli())
	other.server.perform(order, leader.address)
	assert.Equal(t, other.workers.startCount(), 0)

	fresh := &Order{Kind: kindStart, Term: 7, SentMilli: boot.Milli(), LimitMilli: 400}
	other.server.perform(fresh, leader.address)
	assert.Equal(t, other.workers.startCount(), 1)
}

// TestEarlierTerm has a leader go on that has been replaced, as after a pause. It expects a relay that has heard from
// its successor to carry out none of its orders.
func TestEarlierTerm(t *testing.T) {
	old, successor, other := newProcess(t, 1), newProcess(t, 3), newProcess(t, 2)
	old.lead(t, 7, other)
	successor.lead(t, 8, other)

	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()

	reply := old.sender.Start(ctx, testWorker, &mill.StartOrder{Task: testRun(1).Task, Run: 1, FencingToken: 7})
	assert.Assert(t, reply.Outcome != mill.OutcomeAccepted || reply.ClockMilli != 2)
	assert.Equal(t, other.workers.startCount(), 0)

	order := &mill.StartOrder{Task: testRun(1).Task, Run: 1, FencingToken: 8}
	reply = successor.sender.Start(orderContext(t), testWorker, order)
	assert.Equal(t, reply.ClockMilli, int64(2))
}
