package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const heartbeatInterval = 500 * time.Millisecond

// WorkerConfig configures the simulated workers.
type WorkerConfig struct {
	Entries      string
	IDPrefix     string
	DataCentre   string
	Count        int
	RackSize     int
	Capacity     mill.Resources
	AttemptsPath string
}

// Workers simulates the workers of one data centre.
type Workers struct {
	config   WorkerConfig
	balancer *balancer
	mu       sync.Mutex
	records  []AttemptRecord
}

// NewWorkers returns workers that start in Run.
func NewWorkers(config WorkerConfig) *Workers {
	return &Workers{config: config, balancer: newBalancer(config.Entries)}
}

// Run runs the workers until the context ends, then writes the records.
func (w *Workers) Run(ctx context.Context) error {
	var group errgroup.Group

	for i := range w.config.Count {
		instance := &worker{
			owner:       w,
			id:          fmt.Sprintf("%s-worker-%d", w.config.IDPrefix, i),
			rack:        fmt.Sprintf("%s-rack-%d", w.config.DataCentre, i/w.config.RackSize),
			incarnation: uint64(time.Now().UnixNano()),
			attempts:    make(map[mill.TaskRef]*attempt),
		}

		group.Go(func() error { return instance.run(ctx) })
	}

	if err := group.Wait(); err != nil {
		return err
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	return writeRecords(w.config.AttemptsPath, w.records)
}

// worker is one simulated worker.
type worker struct {
	owner       *Workers
	id          string
	rack        string
	incarnation uint64
	leaseExpiry time.Time
	attempts    map[mill.TaskRef]*attempt
}

// attempt is an attempt at a task that is running on a worker or has finished.
type attempt struct {
	state     mill.TaskState
	startedAt time.Time
	runTime   time.Duration
}

func (w *worker) run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ctx.Done():
			w.cancelAll()

			return nil
		case <-ticker.C:
			w.advance(time.Now())
			w.sendHeartbeat()
		}
	}
}

// advance completes the attempts whose run time has passed, and cancels all of them after lease expiry.
func (w *worker) advance(now time.Time) {
	if now.After(w.leaseExpiry) {
		w.cancelAll()

		return
	}

	for ref, a := range w.attempts {
		if a.state == mill.TaskAssigned && a.runTime > 0 && now.Sub(a.startedAt) >= a.runTime {
			w.finish(ref, a, mill.TaskDone, a.startedAt.Add(a.runTime))
		}
	}
}

// cancelAll cancels and removes every attempt. None is recorded as ending after lease expiry.
func (w *worker) cancelAll() {
	canceledAt := time.Now()
	if w.leaseExpiry.Before(canceledAt) {
		canceledAt = w.leaseExpiry
	}

	for ref, a := range w.attempts {
		if a.state == mill.TaskAssigned {
			w.finish(ref, a, mill.TaskCanceled, canceledAt)
		}

		delete(w.attempts, ref)
	}
}

func (w *worker) finish(ref mill.TaskRef, a *attempt, state mill.TaskState, at time.Time) {
	a.state = state

	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()

	w.owner.records = append(w.owner.records, AttemptRecord{
		Worker:     w.id,
		Job:        ref.Job,
		Index:      ref.Index,
		Attempt:    ref.Attempt,
		StartMicro: a.startedAt.UnixMicro(),
		EndMicro:   at.UnixMicro(),
		State:      string(state),
	})
}

func (w *worker) sendHeartbeat() {
	sent := time.Now()

	heartbeat := mill.Heartbeat{
		ID:          w.id,
		Incarnation: w.incarnation,
		DataCentre:  w.owner.config.DataCentre,
		Rack:        w.rack,
		Capacity:    w.owner.config.Capacity,
	}

	for ref, a := range w.attempts {
		heartbeat.Reports = append(heartbeat.Reports, mill.TaskReport{TaskRef: ref, State: a.state})
	}

	body, err := json.Marshal(&heartbeat)
	if err != nil {
		return
	}

	status, reply := call(w.owner.balancer.pick(), fasthttp.MethodPost, "/v1/heartbeats", body)
	if status != fasthttp.StatusOK {
		return
	}

	var orders mill.Orders

	if err := json.Unmarshal(reply, &orders); err == nil {
		w.applyOrders(&orders, sent)
	}
}

// applyOrders carries out the orders. The lease counts from when the heartbeat was sent.
func (w *worker) applyOrders(orders *mill.Orders, sent time.Time) {
	if time.Now().After(w.leaseExpiry) {
		w.cancelAll()
	}

	w.leaseExpiry = sent.Add(time.Duration(orders.LeaseMilli) * time.Millisecond)

	for _, ref := range orders.Forget {
		delete(w.attempts, ref)
	}

	for _, ref := range orders.Stop {
		if a, ok := w.attempts[ref]; ok && a.state == mill.TaskAssigned {
			w.finish(ref, a, mill.TaskCanceled, time.Now())
		}
	}

	for i := range orders.Run {
		w.startAttempt(&orders.Run[i])
	}
}

func (w *worker) startAttempt(order *mill.RunOrder) {
	if _, ok := w.attempts[order.TaskRef]; ok {
		return
	}

	w.attempts[order.TaskRef] = &attempt{
		state:     mill.TaskAssigned,
		startedAt: time.Now(),
		runTime:   time.Duration(order.RunTimeMilli) * time.Millisecond,
	}
}
