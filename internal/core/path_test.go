package core_test

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrymill/cranberrymill/internal/core"
	"github.com/cranberrymill/cranberrymill/internal/fakes"
	"github.com/cranberrymill/cranberrymill/internal/front"
	"github.com/cranberrymill/cranberrymill/internal/lead"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// fakeWorker is an in-process worker that completes each run immediately, or only when it is stopped.
type fakeWorker struct {
	mu         sync.Mutex
	endless    bool
	running    map[mill.RunRef]bool
	started    time.Time
	lastNumber uint64
	finished   []mill.FinishedRun
	starts     map[mill.TaskID]int
}

func (w *fakeWorker) clock() int64 { return 1 + time.Since(w.started).Milliseconds() }

func (w *fakeWorker) accepted() mill.OrderReply {
	return mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: w.clock()}
}

func (w *fakeWorker) Start(_ context.Context, _ mill.WorkerRef, order *mill.StartOrder) mill.OrderReply {
	w.mu.Lock()
	defer w.mu.Unlock()

	run := mill.RunRef{Task: order.Task, Run: order.Run}
	w.starts[order.Task]++
	w.running[run] = true

	if !w.endless {
		w.finish(run, mill.FinishDone)
	}

	return w.accepted()
}

func (w *fakeWorker) Stop(_ context.Context, _ mill.WorkerRef, run mill.RunRef, _ uint64) mill.OrderReply {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.finish(run, mill.FinishStopped)

	return w.accepted()
}

func (w *fakeWorker) finish(run mill.RunRef, cause mill.FinishCause) {
	if !w.running[run] {
		return
	}

	delete(w.running, run)

	w.lastNumber++
	w.finished = append(w.finished, mill.FinishedRun{RunRef: run, Number: w.lastNumber, Cause: cause})
}

// setEndless has the worker run tasks until they are stopped.
func (w *fakeWorker) setEndless() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.endless = true
}

// runs returns the number of runs in progress.
func (w *fakeWorker) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return len(w.running)
}

func (w *fakeWorker) Pace(context.Context, mill.WorkerRef, *mill.PaceOrder) mill.OrderReply {
	return w.accepted()
}

func (w *fakeWorker) Renew(_ context.Context, _ mill.WorkerRef, order *mill.RenewOrder) mill.RenewReply {
	w.mu.Lock()
	defer w.mu.Unlock()

	for len(w.finished) > 0 && w.finished[0].Number <= order.Acknowledged {
		w.finished = w.finished[1:]
	}

	reply := mill.RenewReply{
		OrderReply: w.accepted(), StartUnixMilli: 1, Finished: append([]mill.FinishedRun(nil), w.finished...),
	}

	for run := range w.running {
		reply.Running = append(reply.Running, mill.RunStatus{RunRef: run, Percent: float64(w.clock())})
	}

	return reply
}

// testCluster is three core processes, one front and a fake worker on loopback.
type testCluster struct {
	t         *testing.T
	addresses []string
	folders   []string
	cores     []*core.Core
	stops     []context.CancelFunc
	done      []chan error
	front     *front.Front
	worker    *fakeWorker
	// machines and holderLease are what the core processes are configured with; nil for none. If there are machines, the
	// core processes have disks that can be made to hang.
	disks       [coreSize]*fakes.StallingStorage
	machines    mill.Machines
	holderLease time.Duration
}

const coreSize = 3

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()

	return newTestClusterWith(t, nil, 0)
}

// newTestClusterWith returns a cluster whose leaders send maintenance orders to a provider.
func newTestClusterWith(t *testing.T, machines mill.Machines, holderLease time.Duration) *testCluster {
	t.Helper()

	cluster := &testCluster{t: t, machines: machines, holderLease: holderLease, worker: &fakeWorker{
		started: time.Now(), starts: make(map[mill.TaskID]int), running: make(map[mill.RunRef]bool),
	}}
	listeners := make([]net.Listener, 0, coreSize)

	for range coreSize {
		listener := listen(t)
		listeners = append(listeners, listener)
		cluster.addresses = append(cluster.addresses, listener.Addr().String())
	}

	for i := range coreSize {
		cluster.cores = append(cluster.cores, nil)
		cluster.stops = append(cluster.stops, nil)
		cluster.done = append(cluster.done, nil)
		cluster.folders = append(cluster.folders, filepath.Join(t.TempDir(), fmt.Sprint(i)))
		cluster.startCore(i, listeners[i], cluster.folders[i], true)
	}

	cluster.front = front.New(front.Config{VM: "front", Address: "127.0.0.1:1", Seeds: cluster.addresses})
	ctx, cancel := context.WithCancel(context.Background())
	listener := listen(t)
	done := make(chan error, 1)

	go func() { done <- cluster.front.Run(ctx, listener) }()

	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)

		for i := range cluster.cores {
			cluster.stop(i)
		}
	})

	return cluster
}

func listen(t *testing.T) net.Listener {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	return listener
}

func (c *testCluster) startCore(at int, listener net.Listener, folder string, bootstrap bool) {
	process, err := core.New(core.Config{
		VM:        fmt.Sprint("core", at),
		Address:   c.addresses[at],
		Seeds:     c.addresses,
		Bootstrap: bootstrap,
		Folder:    folder,
		Bounds:    lead.Bounds{MaxLease: 6 * time.Second, GangTimeout: 3 * time.Second, HolderLease: c.holderLease},
		Orders:    c.worker,
		Machines:  c.machines,
	})
	assert.NilError(c.t, err)
	if c.machines != nil {
		process.WrapStorage(func(storage mill.Storage) mill.Storage { return c.stallingDisk(at, storage) })
	}

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- process.Run(ctx, listener) }()

	c.cores[at], c.stops[at], c.done[at] = process, cancel, done
}

// stallingDisk returns a disk in memory with the content of a storage: a slow disk of the machine that runs the test must
// not make a leader lose its followers.
func (c *testCluster) stallingDisk(at int, storage mill.Storage) mill.Storage {
	snapshot, records, err := storage.Load()
	assert.NilError(c.t, err)

	disk := fakes.NewDisk(storage.Identity(), true)
	assert.NilError(c.t, disk.Compact(snapshot, records...))

	c.disks[at] = &fakes.StallingStorage{Storage: disk}

	return c.disks[at]
}

// stop shuts a core process down and waits until it has stopped.
func (c *testCluster) stop(at int) {
	if c.stops[at] == nil {
		return
	}

	c.stops[at]()
	assert.Check(c.t, <-c.done[at])

	c.stops[at] = nil
}

// eventually retries a check with a generous time limit: speed is measured elsewhere.
func (c *testCluster) eventually(what string, check func() error) {
	c.t.Helper()

	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if err := check(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}

		return poll.Success()
	}, poll.WithTimeout(2*time.Minute), poll.WithDelay(20*time.Millisecond))
}

func callContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	context.AfterFunc(ctx, cancel)

	return ctx
}

// at returns the target of a call without a key.
func at(path string) mill.Target {
	return mill.Target{Host: "h", Path: path}
}

func (c *testCluster) configure(at int, version uint64) {
	c.eventually("configure", func() error {
		return c.cores[at].Configure(callContext(), &mill.Setup{
			Version:  version,
			Queues:   []mill.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 2, Timeout: time.Second}},
			Services: []mill.Service{{Name: "s"}},
			Document: []byte(fmt.Sprint(version)),
		})
	})
}

func (c *testCluster) report(at int) {
	_, err := c.cores[at].ReportWorker(callContext(), &mill.WorkerReport{Status: &mill.WorkerStatus{
		ID: "w", StartUnixMilli: 1, Service: "s", Address: "w", Rack: "r", Labels: []string{"a", "r"},
		Capacity: mill.Resources{MilliCores: 4000, MemoryMiB: 4000}, ClockMilli: c.worker.clock(),
		Sequence: uint64(time.Now().UnixNano()),
	}})
	assert.NilError(c.t, err)
}

// restart starts a core process that was stopped.
func (c *testCluster) restart(at int) {
	listener, err := net.Listen("tcp", c.addresses[at])
	assert.NilError(c.t, err)

	c.startCore(at, listener, c.folders[at], false)
}

func (c *testCluster) submit(id string, work *mill.Workload) {
	c.eventually("submit", func() error {
		receipt, err := c.front.Submit(callContext(), at("/q/"+id), work)
		if err == nil && receipt.Verdict != mill.VerdictAccepted {
			err = fmt.Errorf("verdict %d: %s", receipt.Verdict, receipt.Reason)
		}

		return err
	})
}

func (c *testCluster) runJob(id string, reporter int) {
	c.submit(id, &mill.Workload{Spec: id, Steps: []mill.Step{{Count: 2}, {Count: 1, After: []int{0}}}})
	c.eventually("complete", func() error {
		c.report(reporter)

		state, err := c.front.State(callContext(), at("/q/"+id))
		if err == nil && state != mill.JobCompleted {
			err = fmt.Errorf("job %s is %s", id, state)
		}

		return err
	})
}

// TestPath runs jobs from submission to completion across the loss of the leader, and checks
// that an acknowledged setup is what every reader sees.
func TestPath(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.configure(0, 1)
	cluster.runJob("first", 1)

	_, err := cluster.front.State(callContext(), at("/q/none"))
	assert.ErrorIs(t, err, mill.ErrNotFound)
	_, err = cluster.front.State(callContext(), at("/other/none"))
	assert.ErrorIs(t, err, mill.ErrNoQueue)

	cluster.stop(0)
	cluster.runJob("second", 1)

	cluster.configure(2, 5)
	cluster.configure(1, 3)
	cluster.eventually("read", func() error {
		setup, err := cluster.cores[1].CurrentSetup(callContext())
		if err == nil && setup.Version != 5 {
			t.Fatalf("version %d is read back after 5 was acknowledged", setup.Version)
		}

		return err
	})

	state, err := cluster.front.State(callContext(), at("/q/first"))
	assert.NilError(t, err)
	assert.Equal(t, state, mill.JobCompleted)

	for task, starts := range cluster.worker.starts {
		assert.Equal(t, starts, 1, "%s", task)
	}
}

// TestCallsBeforeTheFolderIsOpen checks that new seeds and worker reports are accepted while a
// process still reads its data folder, which takes long after a restart with a long log.
func TestCallsBeforeTheFolderIsOpen(t *testing.T) {
	process, err := core.New(core.Config{
		VM: "vm", Address: "127.0.0.1:1", Seeds: []string{"127.0.0.1:1"}, Folder: t.TempDir(),
	})
	assert.NilError(t, err)

	assert.NilError(t, process.SetSeeds([]string{"127.0.0.1:2"}))

	_, err = process.ReportWorker(callContext(), &mill.WorkerReport{Status: &mill.WorkerStatus{ID: "w"}})
	assert.NilError(t, err)
}
