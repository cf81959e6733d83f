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
	"github.com/cranberrymill/cranberrymill/internal/front"
	"github.com/cranberrymill/cranberrymill/internal/lead"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// pool is a worker that ends each run done at once, over no network at all.
type pool struct {
	mu     sync.Mutex
	began  time.Time
	number uint64
	ended  []mill.FinishedRun
	starts map[mill.TaskID]int
}

func (p *pool) clock() int64 { return 1 + time.Since(p.began).Milliseconds() }

func (p *pool) accepted() mill.OrderReply {
	return mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: p.clock()}
}

func (p *pool) Start(_ context.Context, _ mill.WorkerRef, order *mill.StartOrder) mill.OrderReply {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.starts[order.Task]++
	p.number++
	p.ended = append(p.ended, mill.FinishedRun{
		RunRef: mill.RunRef{Task: order.Task, Run: order.Run}, Number: p.number, Cause: mill.FinishDone,
	})

	return p.accepted()
}

func (p *pool) Stop(context.Context, mill.WorkerRef, mill.RunRef, uint64) mill.OrderReply {
	return p.accepted()
}

func (p *pool) Pace(context.Context, mill.WorkerRef, *mill.PaceOrder) mill.OrderReply {
	return p.accepted()
}

func (p *pool) Renew(_ context.Context, _ mill.WorkerRef, order *mill.RenewOrder) mill.RenewReply {
	p.mu.Lock()
	defer p.mu.Unlock()

	for len(p.ended) > 0 && p.ended[0].Number <= order.Acknowledged {
		p.ended = p.ended[1:]
	}

	return mill.RenewReply{OrderReply: p.accepted(), StartUnixMilli: 1, Finished: append([]mill.FinishedRun(nil), p.ended...)}
}

// site is a core of three, one front and a pool of workers, on loopback.
type site struct {
	t         *testing.T
	addresses []string
	cores     []*core.Core
	stops     []context.CancelFunc
	done      []chan error
	front     *front.Front
	pool      *pool
}

const coreSize = 3

func newSite(t *testing.T) *site {
	t.Helper()

	s := &site{t: t, pool: &pool{began: time.Now(), starts: make(map[mill.TaskID]int)}}
	listeners := make([]net.Listener, 0, coreSize)

	for range coreSize {
		listener := listen(t)
		listeners = append(listeners, listener)
		s.addresses = append(s.addresses, listener.Addr().String())
	}

	for i := range coreSize {
		s.cores = append(s.cores, nil)
		s.stops = append(s.stops, nil)
		s.done = append(s.done, nil)
		s.startCore(i, listeners[i], filepath.Join(t.TempDir(), fmt.Sprint(i)), true)
	}

	s.front = front.New(front.Config{VM: "front", Address: "127.0.0.1:1", Seeds: s.addresses})
	ctx, cancel := context.WithCancel(context.Background())
	listener := listen(t)
	done := make(chan error, 1)

	go func() { done <- s.front.Run(ctx, listener) }()

	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)

		for i := range s.cores {
			s.stop(i)
		}
	})

	return s
}

func listen(t *testing.T) net.Listener {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	return listener
}

func (s *site) startCore(at int, listener net.Listener, folder string, first bool) {
	process, err := core.New(core.Config{
		VM:      fmt.Sprint("core", at),
		Address: s.addresses[at],
		Seeds:   s.addresses,
		First:   first,
		Folder:  folder,
		Bounds:  lead.Bounds{MaxLease: 6 * time.Second, GangTimeout: 3 * time.Second},
		Orders:  s.pool,
	})
	assert.NilError(s.t, err)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- process.Run(ctx, listener) }()

	s.cores[at], s.stops[at], s.done[at] = process, cancel, done
}

// stop ends a core as planned and waits until it is gone.
func (s *site) stop(at int) {
	if s.stops[at] == nil {
		return
	}

	s.stops[at]()
	assert.Check(s.t, <-s.done[at])

	s.stops[at] = nil
}

// eventually waits for as long as it takes: how fast it is, is measured elsewhere.
func (s *site) eventually(what string, check func() error) {
	s.t.Helper()

	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if err := check(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}

		return poll.Success()
	}, poll.WithTimeout(2*time.Minute), poll.WithDelay(20*time.Millisecond))
}

func within() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	context.AfterFunc(ctx, cancel)

	return ctx
}

func (s *site) configure(at int, version uint64) {
	s.eventually("configure", func() error {
		return s.cores[at].Configure(within(), &mill.Setup{
			Version:  version,
			Queues:   []mill.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 2, Timeout: time.Second}},
			Services: []mill.Service{{Name: "s"}},
			Document: []byte(fmt.Sprint(version)),
		})
	})
}

func (s *site) report(at int) {
	_, err := s.cores[at].ReportWorker(within(), &mill.WorkerReport{Status: &mill.WorkerStatus{
		ID: "w", StartUnixMilli: 1, Service: "s", Address: "w", Rack: "r", Labels: []string{"a", "r"},
		Capacity: mill.Resources{MilliCores: 4000, MemoryMiB: 4000}, ClockMilli: s.pool.clock(),
		Sequence: uint64(time.Now().UnixNano()),
	}})
	assert.NilError(s.t, err)
}

func (s *site) runJob(id string, reporter int) {
	work := &mill.Workload{Spec: id, Steps: []mill.Step{{Count: 2}, {Count: 1, After: []int{0}}}}

	s.eventually("submit", func() error {
		receipt, err := s.front.Submit(within(), "h", "/q/"+id, work)
		if err == nil && receipt.Verdict != mill.VerdictAccepted {
			err = fmt.Errorf("verdict %d: %s", receipt.Verdict, receipt.Reason)
		}

		return err
	})
	s.eventually("complete", func() error {
		s.report(reporter)

		state, err := s.front.State(within(), "h", "/q/"+id)
		if err == nil && state != mill.JobCompleted {
			err = fmt.Errorf("job %s is %s", id, state)
		}

		return err
	})
}

// TestPath takes a job from a caller to its end, through the loss of the leader,
// and a setup from an operator to every reader.
func TestPath(t *testing.T) {
	s := newSite(t)
	s.configure(0, 1)
	s.runJob("first", 1)

	_, err := s.front.State(within(), "h", "/q/none")
	assert.ErrorIs(t, err, mill.ErrNotFound)
	_, err = s.front.State(within(), "h", "/other/none")
	assert.ErrorIs(t, err, mill.ErrNoQueue)

	s.stop(0)
	s.runJob("second", 1)

	s.configure(2, 5)
	s.configure(1, 3)
	s.eventually("read", func() error {
		setup, err := s.cores[1].CurrentSetup(within())
		if err == nil && setup.Version != 5 {
			t.Fatalf("version %d is read back after 5 was acknowledged", setup.Version)
		}

		return err
	})

	state, err := s.front.State(within(), "h", "/q/first")
	assert.NilError(t, err)
	assert.Equal(t, state, mill.JobCompleted)

	for task, starts := range s.pool.starts {
		assert.Equal(t, starts, 1, "%s", task)
	}
}

// TestCallsBeforeTheFolderIsOpen expects new seeds and reports to be taken while a process
// still reads its data folder, which takes long after a restart with a long log.
func TestCallsBeforeTheFolderIsOpen(t *testing.T) {
	process, err := core.New(core.Config{
		VM: "vm", Address: "127.0.0.1:1", Seeds: []string{"127.0.0.1:1"}, Folder: t.TempDir(),
	})
	assert.NilError(t, err)

	assert.NilError(t, process.SetSeeds([]string{"127.0.0.1:2"}))

	_, err = process.ReportWorker(within(), &mill.WorkerReport{Status: &mill.WorkerStatus{ID: "w"}})
	assert.NilError(t, err)
}
