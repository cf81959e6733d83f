package lead

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// panickingOrders panics at the first orders of each kind, and accepts the others. Its worker runs each task that it was
// told to start and not to stop.
type panickingOrders struct {
	starts, stops, renewals atomic.Int64

	mu      sync.Mutex
	running map[mill.RunRef]bool
}

func (o *panickingOrders) set(run mill.RunRef, running bool) mill.OrderReply {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.running == nil {
		o.running = make(map[mill.RunRef]bool)
	}

	o.running[run] = running

	return mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: 2}
}

func (o *panickingOrders) runs() []mill.RunStatus {
	o.mu.Lock()
	defer o.mu.Unlock()

	var runs []mill.RunStatus

	for run, running := range o.running {
		if running {
			runs = append(runs, mill.RunStatus{RunRef: run, Percent: float64(o.renewals.Load())})
		}
	}

	return runs
}

func (o *panickingOrders) Start(_ context.Context, _ mill.WorkerRef, order *mill.StartOrder) mill.OrderReply {
	if o.starts.Add(1) == 1 {
		panic("start")
	}

	return o.set(mill.RunRef{Task: order.Task, Run: order.Run}, true)
}

func (o *panickingOrders) Stop(_ context.Context, _ mill.WorkerRef, run mill.RunRef, _ uint64) mill.OrderReply {
	if o.stops.Add(1) == 1 {
		panic("stop")
	}

	return o.set(run, false)
}

func (o *panickingOrders) Renew(context.Context, mill.WorkerRef, *mill.RenewOrder) mill.RenewReply {
	if o.renewals.Add(1) == 1 {
		panic("renew")
	}

	return mill.RenewReply{OrderReply: mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: 2}, Running: o.runs()}
}

func (o *panickingOrders) Pace(context.Context, mill.WorkerRef, *mill.PaceOrder) mill.OrderReply {
	panic("pace")
}

// TestPanickingOrders has the first order of each kind panic, and expects it to count as unanswered and to be sent again, in
// a process that goes on. Once the task runs, its job is canceled, and the task has to be stopped.
func TestPanickingOrders(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	state := jobs.NewState()
	state.Apply(&jobs.Command{Setup: simSetup()})
	benchmarkSubmit(state, "job", "free", 1, 1000)

	pool, err := ants.NewPool(8, ants.WithNonblocking(true))
	assert.NilError(t, err)

	defer pool.Release()

	var mu sync.Mutex

	orders := &panickingOrders{}
	now := time.Now()
	runner := NewRunner(ctx, New(Bounds{MaxLease: simMaxLease}, 1, now, state, place.Pack{}), Dependencies{
		Orders: orders,
		Pool:   pool,
		Propose: func(commands []jobs.Command, done func(results []jobs.Result, err error)) {
			mu.Lock()
			defer mu.Unlock()

			results := make([]jobs.Result, 0, len(commands))
			for i := range commands {
				results = append(results, state.Apply(&commands[i]))
			}

			done(results, nil)
		},
		Confirm: func(context.Context) error { return nil },
		View: func(read func(state *jobs.State)) {
			mu.Lock()
			defer mu.Unlock()

			read(state)
		},
		WallMilli: time.Time.UnixMilli,
	})

	runner.Report(&mill.WorkerStatus{
		ID: "w1", Service: "pool", Address: "a", Labels: []string{"a", "r"}, Rack: "r", ClockMilli: 1, Sequence: 1,
		Capacity: mill.Resources{MilliCores: 4000, MemoryMiB: 4000},
	}, now)

	go runner.Run()

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(orders.runs()) > 0 && orders.renewals.Load() > 1 {
			return poll.Success()
		}

		return poll.Continue("%d starts and %d renewals sent", orders.starts.Load(), orders.renewals.Load())
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))

	mu.Lock()
	state.Apply(&jobs.Command{Cancel: &jobs.Cancel{Job: "job"}})
	mu.Unlock()

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(orders.runs()) == 0 && orders.stops.Load() > 1 {
			return poll.Success()
		}

		return poll.Continue("%d stops sent, %d runs in progress", orders.stops.Load(), len(orders.runs()))
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
}
