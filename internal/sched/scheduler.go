package sched

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/httpd"
	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/internal/ring"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	planTime     = 25 * time.Millisecond
	renewTime    = 500 * time.Millisecond
	takeoverTime = 3 * time.Second
	// authorityTime is how long after a renewal was sent the active scheduler
	// may extend leases; it is shorter than takeoverTime, so that a deposed
	// one has stopped before its successor begins.
	authorityTime = 2 * time.Second
	// driftPart bounds how much faster one VM's clock runs than another's, as 1 in driftPart.
	driftPart   = 20
	followWait  = 500 * time.Millisecond
	followTime  = 2 * time.Second
	proposeTime = 2 * time.Second
	followLimit = 256
	eventRing   = 4096
)

// errLost means that another scheduler has become the active one.
var errLost = merry.Sentinel("another scheduler is active")

// ledgerLog is the ledger of the scheduler's data centre.
type ledgerLog interface {
	Propose(ctx context.Context, ledger string, command ledger.Command) (ledger.Result, error)
	Changes(ctx context.Context, request *ledger.ChangesRequest) (*ledger.ChangesReply, error)
}

// Scheduler is one process of the role.
type Scheduler struct {
	settings *conf.Settings
	vm       conf.VM
	holder   string
	client   *wire.Client
	control  *ctrl.Watcher
	ledgers  ledgerLog
	events   *ring.Ring[func()]
	now      func() time.Time
	stop     context.CancelFunc

	// active is set while this scheduler holds the lease of term, as far as it
	// knows; until authority it may extend the leases of workers.
	active      bool
	term        uint64
	activeSince time.Time
	authority   time.Time

	// What the ledger said of the lease when it was last read, at readAt:
	// changedAt is when that changed.
	seenTerm  uint64
	renewals  uint64
	resigned  bool
	changedAt time.Time
	readAt    time.Time

	// mirror has the jobs as of index; before loadedFrom it is not complete.
	// dirty is set when there may be something to place.
	mirror     *mirror
	index      uint64
	loadedFrom uint64
	dirty      bool
}

// New returns a scheduler that is not running yet.
func New(settings *conf.Settings) (*Scheduler, error) {
	vm, ok := settings.ClusterMap().Find(settings.VM)
	if !ok || vm.Sched == "" {
		return nil, merry.Prependf(mill.ErrInvalid, "vms.%s.sched \"\": want host:port", settings.VM)
	}

	client := wire.NewClient()

	return &Scheduler{
		settings:  settings,
		vm:        vm,
		holder:    vm.Name,
		client:    client,
		control:   ctrl.NewWatcher(client, settings.ClusterMap().Voters(vm)),
		events:    ring.New[func()](eventRing),
		now:       time.Now,
		changedAt: time.Now(),
		mirror:    newMirror(),
	}, nil
}

// Run schedules, or stands by, until the context ends.
func (s *Scheduler) Run(ctx context.Context) error {
	listener, err := httpd.Listen(ctx, "vms."+s.vm.Name+".sched", s.vm.Sched)
	if err != nil {
		return err
	}

	// The duties go on until the lease has been given up.
	behind, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.stop = stop
	s.ledgers = ledger.NewClient(behind, s.client, s.control, s.settings.ClusterMap().Stores())

	server := &wire.Server{}
	wire.Handle(server, MethodHeartbeat, s.takeHeartbeat)
	wire.Handle(server, MethodWorkers, s.answerWorkers)
	wire.Handle(server, MethodExplain, s.answerExplain)

	duties, behind := errgroup.WithContext(behind)

	duties.Go(func() error { return s.control.Run(behind) })
	duties.Go(func() error { return server.Serve(behind, listener) })
	duties.Go(func() error { return s.runFollow(behind) })
	duties.Go(func() error { return s.runEvents(behind) })
	duties.Go(func() error { return s.runClock(behind, planTime, s.tick) })
	duties.Go(func() error { return s.runRenew(ctx, behind) })

	return duties.Wait()
}

// runEvents runs every event on one goroutine, which owns the mirror.
func (s *Scheduler) runEvents(ctx context.Context) error {
	for {
		event, err := s.events.Take(ctx)
		if err != nil {
			return nil //nolint:nilerr // The context has ended, as planned.
		}

		event()
	}
}

func (s *Scheduler) runClock(ctx context.Context, period time.Duration, event func(ctx context.Context)) error {
	clock := time.NewTicker(period)
	defer clock.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-clock.C:
			s.events.Offer(func() { event(ctx) })
		}
	}
}

func (s *Scheduler) propose(ctx context.Context, command ledger.Command) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()

	result, err := s.ledgers.Propose(ctx, s.vm.DataCentre(), command)
	if err != nil {
		return result, err
	}

	if result.Status == ledger.StatusStale {
		s.depose(result.Term)

		return result, errLost
	}

	return result, nil
}

// do runs an event and waits for it, or for the context to end.
func (s *Scheduler) do(ctx context.Context, event func() error) error {
	done := make(chan error, 1)

	err := s.events.Put(ctx, func() {
		if !s.active {
			done <- mill.ErrNotPrimary

			return
		}

		done <- event()
	})
	if err != nil {
		return err
	}

	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.Join(mill.ErrUnavailable, ctx.Err())
	}
}

func (s *Scheduler) answerWorkers(ctx context.Context, _ *WorkersRequest) (*WorkersReply, error) {
	reply := &WorkersReply{}

	err := s.do(ctx, func() error {
		for id, w := range s.mirror.workers {
			reply.Workers = append(reply.Workers, WorkerStatus{
				ID: id, Rack: w.view.Rack, Capacity: w.view.Capacity, Free: w.view.Free, Tasks: len(w.tasks), Live: w.live,
			})
		}

		return nil
	})

	return reply, err
}

func (s *Scheduler) answerExplain(ctx context.Context, request *ExplainRequest) (*ExplainReply, error) {
	var reply *ExplainReply

	err := s.do(ctx, func() error {
		var err error

		reply, err = s.mirror.explain(request.Job)

		return err
	})

	return reply, err
}
