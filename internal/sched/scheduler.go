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
	planInterval    = 25 * time.Millisecond
	renewInterval   = 500 * time.Millisecond
	takeoverTimeout = 3 * time.Second
	// authorityDuration is how long after sending a renewal the active scheduler may extend the
	// leases of workers. It is shorter than takeoverTimeout, so that a deposed scheduler stops
	// extending leases before its successor begins.
	authorityDuration = 2 * time.Second
	// driftDivisor bounds clock drift: one VM's clock runs at most 1/driftDivisor faster than another's.
	driftDivisor       = 20
	changesWait        = 500 * time.Millisecond
	changesTimeout     = 2 * time.Second
	proposeTimeout     = 2 * time.Second
	changesLimit       = 256
	eventQueueCapacity = 4096
)

// errDeposed is returned when another scheduler has become active.
var errDeposed = merry.Sentinel("another scheduler is active")

// ledgerClient writes to and reads from the ledger of the scheduler's data centre.
type ledgerClient interface {
	Propose(ctx context.Context, ledger string, command ledger.Command) (ledger.Result, error)
	Changes(ctx context.Context, request *ledger.ChangesRequest) (*ledger.ChangesReply, error)
}

// Scheduler is one process that schedules for a data centre, or stands by to take over.
type Scheduler struct {
	settings  *conf.Settings
	vm        conf.VM
	holder    string
	client    *wire.Client
	control   *ctrl.Watcher
	ledgers   ledgerClient
	events    *ring.Ring[func()]
	now       func() time.Time
	stopLoops context.CancelFunc

	// active is set while this scheduler holds the lease of the term, as far as it knows. It may
	// extend the leases of workers until authorizedUntil.
	active          bool
	term            uint64
	activeSince     time.Time
	authorizedUntil time.Time

	// The scheduler's lease as last read from the ledger, at leaseReadAt. leaseChangedAt is when
	// a change of it was last seen.
	observedTerm     uint64
	observedRenewals uint64
	resigned         bool
	leaseChangedAt   time.Time
	leaseReadAt      time.Time

	// mirror holds the jobs as of the log index; it is incomplete while index is below completeFrom.
	// dirty is set when there may be tasks to place.
	mirror       *mirror
	index        uint64
	completeFrom uint64
	dirty        bool
}

// New returns a scheduler, which Run starts.
func New(settings *conf.Settings) (*Scheduler, error) {
	vm, ok := settings.ClusterMap().Find(settings.VM)
	if !ok || vm.Sched == "" {
		return nil, merry.Prependf(mill.ErrInvalid, "vms.%s.sched \"\": want host:port", settings.VM)
	}

	client := wire.NewClient()

	return &Scheduler{
		settings:       settings,
		vm:             vm,
		holder:         vm.Name,
		client:         client,
		control:        ctrl.NewWatcher(client, settings.ClusterMap().Voters(vm)),
		events:         ring.New[func()](eventQueueCapacity),
		now:            time.Now,
		leaseChangedAt: time.Now(),
		mirror:         newMirror(),
	}, nil
}

// Run schedules, or stands by, until the context ends. It then gives up the lease.
func (s *Scheduler) Run(ctx context.Context) error {
	listener, err := httpd.Listen(ctx, "vms."+s.vm.Name+".sched", s.vm.Sched)
	if err != nil {
		return err
	}

	// The loops keep running after ctx ends until the lease has been given up.
	runCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	s.stopLoops = stopLoops
	s.ledgers = ledger.NewClient(runCtx, s.client, s.control, s.settings.ClusterMap().Stores())

	server := &wire.Server{}
	wire.Handle(server, MethodHeartbeat, s.handleHeartbeat)
	wire.Handle(server, MethodWorkers, s.handleWorkers)
	wire.Handle(server, MethodExplain, s.handleExplain)

	loops, runCtx := errgroup.WithContext(runCtx)

	loops.Go(func() error { return s.control.Run(runCtx) })
	loops.Go(func() error { return server.Serve(runCtx, listener) })
	loops.Go(func() error { return s.followLoop(runCtx) })
	loops.Go(func() error { return s.eventLoop(runCtx) })
	loops.Go(func() error { return s.tickLoop(runCtx, planInterval, s.tick) })
	loops.Go(func() error { return s.renewLoop(ctx, runCtx) })

	return loops.Wait()
}

// eventLoop runs all events on one goroutine, which owns the mirror.
func (s *Scheduler) eventLoop(ctx context.Context) error {
	for {
		event, err := s.events.Take(ctx)
		if err != nil {
			return nil //nolint:nilerr // The context has ended, as intended.
		}

		event()
	}
}

// tickLoop queues the event once per period. A tick is dropped if the event queue is full.
func (s *Scheduler) tickLoop(ctx context.Context, period time.Duration, event func(ctx context.Context)) error {
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
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()

	result, err := s.ledgers.Propose(ctx, s.vm.DataCentre(), command)
	if err != nil {
		return result, err
	}

	if result.Status == ledger.StatusStale {
		s.stepDown(result.Term)

		return result, errDeposed
	}

	return result, nil
}

// runEvent runs an event on the event loop and waits for its result, or until the context ends. It
// returns mill.ErrNotPrimary if this scheduler is not active.
func (s *Scheduler) runEvent(ctx context.Context, event func() error) error {
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

func (s *Scheduler) handleWorkers(ctx context.Context, _ *WorkersRequest) (*WorkersReply, error) {
	reply := &WorkersReply{}

	err := s.runEvent(ctx, func() error {
		for id, w := range s.mirror.workers {
			reply.Workers = append(reply.Workers, WorkerStatus{
				ID: id, Rack: w.view.Rack, Capacity: w.view.Capacity, Free: w.view.Free, Tasks: len(w.tasks), Live: w.live,
			})
		}

		return nil
	})

	return reply, err
}

func (s *Scheduler) handleExplain(ctx context.Context, request *ExplainRequest) (*ExplainReply, error) {
	var reply *ExplainReply

	err := s.runEvent(ctx, func() error {
		var err error

		reply, err = s.mirror.explain(request.Job)

		return err
	})

	return reply, err
}
