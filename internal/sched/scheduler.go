package sched

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/httpd"
	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/internal/place"
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

	active      bool
	term        uint64
	renewals    uint64
	seenTerm    uint64
	resigned    bool
	changedAt   time.Time
	readAt      time.Time
	activeSince time.Time
	authority   time.Time
	index       uint64
	loadedFrom  uint64
	mirror      *mirror
	dirty       bool
}

// New returns a scheduler that is not running yet.
func New(settings *conf.Settings) (*Scheduler, error) {
	vm, ok := settings.Map().Find(settings.VM)
	if !ok || vm.Sched == "" {
		return nil, merry.Prependf(mill.ErrInvalid, "vms.%s.sched \"\": want host:port", settings.VM)
	}

	client := wire.NewClient()

	return &Scheduler{
		settings:  settings,
		vm:        vm,
		holder:    vm.Name,
		client:    client,
		control:   ctrl.NewWatcher(client, settings.Map().Voters(vm)),
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
	s.ledgers = ledger.NewClient(behind, s.client, s.control, s.settings.Map().Stores())

	server := &wire.Server{}
	wire.Handle(server, MethodHeartbeat, s.takeHeartbeat)
	wire.Handle(server, MethodWorkers, s.answerWorkers)
	wire.Handle(server, MethodExplain, s.answerExplain)

	var duties errgroup.Group

	duties.Go(func() error { return s.control.Run(behind) })
	duties.Go(func() error { return server.Serve(behind, listener) })
	duties.Go(func() error { return s.runFollow(behind) })
	duties.Go(func() error { return s.runEvents(behind) })
	duties.Go(func() error { return s.runClock(behind, planTime, s.tick) })
	duties.Go(func() error { return s.runRenew(ctx) })

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

// runRenew renews the lease of the active scheduler on a goroutine of its own,
// so that a long plan does not cost it the lease.
func (s *Scheduler) runRenew(ctx context.Context) error {
	clock := time.NewTicker(renewTime)
	defer clock.Stop()

	for {
		select {
		case <-ctx.Done():
			s.resign(context.WithoutCancel(ctx))

			return nil
		case <-clock.C:
			s.renew(ctx)
		}
	}
}

// resign gives the lease up before a planned stop, so that the next scheduler
// need not wait for it to lapse.
func (s *Scheduler) resign(ctx context.Context) {
	defer s.stop()

	reply := make(chan uint64, 1)

	if !s.events.Offer(func() { reply <- s.resignTerm() }) {
		return
	}

	term := <-reply
	if term == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()

	_, _ = s.ledgers.Propose(ctx, s.vm.DataCentre(), ledger.Command{Lead: &ledger.Lead{Term: term}})
}

// resignTerm ends the scheduler's activity and returns the term to give up.
func (s *Scheduler) resignTerm() uint64 {
	if !s.active {
		return 0
	}

	s.active = false

	return s.term + 1
}

// renew commits that this scheduler is alive, or that it takes over from one
// that has not been for takeoverTime.
func (s *Scheduler) renew(ctx context.Context) {
	term, ok := s.wantedTerm(ctx)
	if !ok {
		return
	}

	sent := s.now()

	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()

	result, err := s.ledgers.Propose(ctx, s.vm.DataCentre(), ledger.Command{
		Lead: &ledger.Lead{Holder: s.holder, Term: term},
	})
	if err != nil {
		return
	}

	_ = s.events.Put(ctx, func() { s.renewed(term, sent, &result) })
}

// wantedTerm returns the term to renew or to take, if any.
func (s *Scheduler) wantedTerm(ctx context.Context) (uint64, bool) {
	reply := make(chan uint64, 1)

	if err := s.events.Put(ctx, func() { reply <- s.nextTerm() }); err != nil {
		return 0, false
	}

	select {
	case term := <-reply:
		return term, term > 0
	case <-ctx.Done():
		return 0, false
	}
}

// nextTerm returns the term to renew, the one to take from a scheduler that has
// not renewed its own for takeoverTime, or 0.
func (s *Scheduler) nextTerm() uint64 {
	switch {
	case s.active:
		return s.term
	case s.now().Sub(s.readAt) > followTime:
		return 0 // Renewals may have been committed that were not read.
	case s.resigned || s.now().Sub(s.changedAt) > takeoverTime:
		return s.seenTerm + 1
	default:
		return 0
	}
}

func (s *Scheduler) renewed(term uint64, sent time.Time, result *ledger.Result) {
	if result.Status != ledger.StatusOK {
		s.depose(result.Term)

		return
	}

	s.authority = sent.Add(authorityTime)

	if s.active && s.term == term {
		return
	}

	log.Info().Str("dataCentre", s.vm.DataCentre()).Uint64("term", term).Msg("scheduler is active")

	s.active = true
	s.resigned = false
	s.term = term
	s.activeSince = s.now()
	s.mirror = newMirror()
	s.index = 0
	s.loadedFrom = result.Index
}

// loaded reports whether the mirror has every job as of the term's beginning.
// Before that the scheduler knows too little to tell a worker anything.
func (s *Scheduler) loaded() bool {
	return s.index >= s.loadedFrom
}

func (s *Scheduler) depose(term uint64) {
	if s.active {
		log.Warn().Uint64("term", term).Msg("another scheduler is active")
	}

	s.active = false
	s.resigned = false
	s.seenTerm = max(s.seenTerm, term)
	s.changedAt = s.now()
}

// runFollow brings the mirror up to date with the ledger.
func (s *Scheduler) runFollow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.follow(ctx); err != nil {
			time.Sleep(planTime)
		}
	}

	return nil
}

func (s *Scheduler) follow(ctx context.Context) error {
	since := make(chan uint64, 1)

	if err := s.events.Put(ctx, func() { since <- s.index }); err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, followTime)
	defer cancel()

	var from uint64

	select {
	case from = <-since:
	case <-ctx.Done():
		return ctx.Err()
	}

	reply, err := s.ledgers.Changes(ctx, &ledger.ChangesRequest{
		Ledger: s.vm.DataCentre(), Since: from, Limit: followLimit, WaitMilli: followWait.Milliseconds(),
	})
	if err != nil {
		return err
	}

	return s.events.Put(ctx, func() { s.merge(from, reply) })
}

// merge takes changes, unless the mirror was begun anew since they were asked for.
func (s *Scheduler) merge(from uint64, reply *ledger.ChangesReply) {
	s.readAt = s.now()

	if reply.Term != s.seenTerm || reply.Renewals != s.renewals {
		s.seenTerm = reply.Term
		s.renewals = reply.Renewals
		s.changedAt = s.now()
	}

	s.resigned = reply.Leader == ""

	if s.active && reply.Term > s.term {
		s.depose(reply.Term)
	}

	if from != s.index {
		return
	}

	for i := range reply.Jobs {
		s.mirror.update(reply.Jobs[i], reply.Commit)
	}

	s.index = max(s.index, reply.Index)
	s.dirty = s.dirty || len(reply.Jobs) > 0
}

// tick ends what silent workers held and places what is pending.
func (s *Scheduler) tick(ctx context.Context) {
	if !s.active || !s.loaded() {
		return
	}

	s.retryEndings(ctx)
	s.expire(ctx)

	if !s.dirty {
		return
	}

	s.dirty = false

	for _, placements := range s.mirror.plan(s.placer()) {
		if err := s.assign(ctx, placements); err != nil {
			s.dirty = true

			return
		}
	}
}

func (s *Scheduler) assign(ctx context.Context, placements []ledger.Placement) error {
	result, err := s.propose(ctx, ledger.Command{Assign: &ledger.Assign{Term: s.term, Placements: placements}})
	if err != nil {
		return err
	}

	if result.Status != ledger.StatusOK {
		log.Warn().Str("reason", result.Reason).Msg("placement refused")
		s.readAgain(result.Index)

		return nil
	}

	for i := range placements {
		s.mirror.place(&placements[i], result.Index)
	}

	return nil
}

// readAgain has every job read again up to an index, at which the ledger has
// shown that the mirror is not like it.
func (s *Scheduler) readAgain(index uint64) {
	s.index = 0
	s.loadedFrom = index
	s.dirty = true
}

// place notes a placement that the ledger has committed.
func (m *mirror) place(placement *ledger.Placement, index uint64) {
	job, ok := m.jobs[placement.Job]
	if !ok {
		return
	}

	m.written[placement.Job] = index

	task := &job.Tasks[placement.Index]
	if task.State != mill.TaskPending || placement.Attempt != task.Attempt+1 {
		return
	}

	task.State = mill.TaskAssigned
	task.Attempt = placement.Attempt
	task.Worker = placement.Worker
	m.worker(placement.Worker).take(placement.TaskRef, job.Spec.Each)
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

// expire puts back what the workers held that have been silent for their whole
// lease. A scheduler that has just become active first lets every lease run
// out that the one before may have given.
func (s *Scheduler) expire(ctx context.Context) {
	grace := s.settings.Limits.Lease() + s.settings.Limits.Lease()/driftPart
	now := s.now()

	if !s.settled() {
		return
	}

	for _, id := range slices.Sorted(maps.Keys(s.mirror.workers)) {
		w := s.mirror.workers[id]
		heard := w.heard
		if heard.Before(s.activeSince) {
			heard = s.activeSince
		}

		if now.Sub(heard) < grace {
			continue
		}

		s.lose(ctx, id, w)
	}
}

func (s *Scheduler) lose(ctx context.Context, id string, w *worker) {
	w.live = false

	endings := make([]ledger.Ending, 0, len(w.tasks))

	for _, ref := range sortedRefs(w.tasks) {
		if _, ending := s.mirror.ending[ref]; !ending {
			endings = append(endings, ledger.Ending{TaskRef: ref, State: mill.TaskPending, Reason: "worker was lost"})
		}
	}

	if len(endings) == 0 {
		return
	}

	log.Warn().Str("worker", id).Int("tasks", len(endings)).Msg("worker lost")

	_ = s.commitEndings(ctx, endings)
}

func (s *Scheduler) placer() mill.Placer {
	newPlacer, err := mill.Placers.Find(s.control.View().InForce().Placer)
	if err != nil {
		return place.Spread{}
	}

	return newPlacer()
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
