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

const heartbeatTime = 500 * time.Millisecond

// WorkerConfig tells what workers to play.
type WorkerConfig struct {
	Entries    string
	Prefix     string
	DataCentre string
	Count      int
	RackSize   int
	Capacity   mill.Resources
	Tasks      string
}

// Workers plays the workers of one data centre.
type Workers struct {
	config   WorkerConfig
	balancer *balancer
	mu       sync.Mutex
	records  []TaskRecord
}

// NewWorkers returns workers that are not running yet.
func NewWorkers(config WorkerConfig) *Workers {
	return &Workers{config: config, balancer: newBalancer(config.Entries)}
}

// Run works until the context ends, then writes the records.
func (w *Workers) Run(ctx context.Context) error {
	var group errgroup.Group

	for i := range w.config.Count {
		one := &worker{
			owner:       w,
			id:          fmt.Sprintf("%s-worker-%d", w.config.Prefix, i),
			rack:        fmt.Sprintf("%s-rack-%d", w.config.DataCentre, i/w.config.RackSize),
			incarnation: uint64(time.Now().UnixNano()),
			tasks:       make(map[mill.TaskRef]*task),
		}

		group.Go(func() error { return one.run(ctx) })
	}

	if err := group.Wait(); err != nil {
		return err
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	return writeRecords(w.config.Tasks, w.records)
}

// worker is one worker.
type worker struct {
	owner       *Workers
	id          string
	rack        string
	incarnation uint64
	lease       time.Time
	tasks       map[mill.TaskRef]*task
}

// task is an attempt that a worker runs or has ended.
type task struct {
	state   mill.TaskState
	started time.Time
	length  time.Duration
}

func (w *worker) run(ctx context.Context) error {
	clock := time.NewTicker(heartbeatTime)
	defer clock.Stop()

	for {
		select {
		case <-ctx.Done():
			w.stopAll()

			return nil
		case <-clock.C:
			w.advance(time.Now())
			w.heartbeat()
		}
	}
}

// advance ends the tasks that are through, and all of them once the lease has lapsed.
func (w *worker) advance(now time.Time) {
	if now.After(w.lease) {
		w.stopAll()

		return
	}

	for ref, t := range w.tasks {
		if t.state == mill.TaskAssigned && t.length > 0 && now.Sub(t.started) >= t.length {
			w.end(ref, t, mill.TaskDone, t.started.Add(t.length))
		}
	}
}

// stopAll stops and forgets every task; no later than its lease allowed.
func (w *worker) stopAll() {
	stopped := time.Now()
	if w.lease.Before(stopped) {
		stopped = w.lease
	}

	for ref, t := range w.tasks {
		if t.state == mill.TaskAssigned {
			w.end(ref, t, mill.TaskCanceled, stopped)
		}

		delete(w.tasks, ref)
	}
}

func (w *worker) end(ref mill.TaskRef, t *task, state mill.TaskState, at time.Time) {
	t.state = state

	w.owner.mu.Lock()
	defer w.owner.mu.Unlock()

	w.owner.records = append(w.owner.records, TaskRecord{
		Worker:     w.id,
		Job:        ref.Job,
		Index:      ref.Index,
		Attempt:    ref.Attempt,
		StartMicro: t.started.UnixMicro(),
		EndMicro:   at.UnixMicro(),
		State:      string(state),
	})
}

func (w *worker) heartbeat() {
	sent := time.Now()

	heartbeat := mill.Heartbeat{
		ID:          w.id,
		Incarnation: w.incarnation,
		DataCentre:  w.owner.config.DataCentre,
		Rack:        w.rack,
		Capacity:    w.owner.config.Capacity,
	}

	for ref, t := range w.tasks {
		heartbeat.Reports = append(heartbeat.Reports, mill.TaskReport{TaskRef: ref, State: t.state})
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
		w.obey(&orders, sent)
	}
}

// obey counts the lease from when the heartbeat was sent.
func (w *worker) obey(orders *mill.Orders, sent time.Time) {
	if time.Now().After(w.lease) {
		w.stopAll()
	}

	w.lease = sent.Add(time.Duration(orders.LeaseMilli) * time.Millisecond)

	for _, ref := range orders.Forget {
		delete(w.tasks, ref)
	}

	for _, ref := range orders.Stop {
		if t, ok := w.tasks[ref]; ok && t.state == mill.TaskAssigned {
			w.end(ref, t, mill.TaskCanceled, time.Now())
		}
	}

	for i := range orders.Run {
		w.start(&orders.Run[i])
	}
}

func (w *worker) start(order *mill.RunOrder) {
	if _, ok := w.tasks[order.TaskRef]; ok {
		return
	}

	w.tasks[order.TaskRef] = &task{
		state:   mill.TaskAssigned,
		started: time.Now(),
		length:  time.Duration(order.RunTimeMilli) * time.Millisecond,
	}
}
