package sched

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func TestMain(m *testing.M) {
	seeds.RunAndExit(m.Run, 3000)
}

// fataler is the part of testing.TB and rapid.T that a world needs.
type fataler interface {
	Fatalf(format string, arguments ...any)
}

var errUnreachable = errors.New("message lost")

// fakeLedger applies commands to a real ledger state at once, and loses the messages that a test
// chooses.
type fakeLedger struct {
	state *ledger.State
	index uint64
	// unreachable makes every call fail; loseNextReply applies the next command but loses its reply.
	unreachable   bool
	loseNextReply bool
}

func (l *fakeLedger) Propose(_ context.Context, _ string, command ledger.Command) (ledger.Result, error) {
	if l.unreachable {
		return ledger.Result{}, errUnreachable
	}

	l.index++
	result := l.state.Apply(l.index, &command)
	result.Index = l.index

	if l.loseNextReply {
		l.loseNextReply = false

		return ledger.Result{}, errUnreachable
	}

	return result, nil
}

func (l *fakeLedger) Changes(_ context.Context, request *ledger.ChangesRequest) (*ledger.ChangesReply, error) {
	if l.unreachable {
		return nil, errUnreachable
	}

	reply := &ledger.ChangesReply{Commit: l.index}
	reply.Jobs, reply.Index = l.state.Changes(request.Since, request.Limit, l.index)
	reply.Leader, reply.Term, reply.Renewals = l.state.Leader()

	return reply, nil
}

// fakeWorker executes its orders by a clock of its own, which may run slightly fast or slow.
type fakeWorker struct {
	id          string
	incarnation uint64
	clockRate   float64
	lease       time.Time
	running     map[mill.TaskRef]bool
	completed   map[mill.TaskRef]mill.TaskState
	frozen      bool
	// previousRuns are the runs that an earlier incarnation of the worker may still execute, until
	// previousLease.
	previousRuns  map[mill.TaskRef]bool
	previousLease time.Time
}

// world simulates one data centre: two schedulers and three workers that share a ledger.
type world struct {
	t             fataler
	clock         time.Time
	ledger        *fakeLedger
	links         []*fakeLedger
	schedulers    []*Scheduler
	workers       []*fakeWorker
	unmergedReads []ledgerRead
}

// ledgerRead is a reply of the ledger that a scheduler has not merged yet.
type ledgerRead struct {
	scheduler int
	from      uint64
	reply     *ledger.ChangesReply
}

const (
	workerCores = 4
	taskCores   = 1
)

func newWorld(t fataler) *world {
	w := &world{t: t, clock: time.Unix(1_800_000_000, 0), ledger: &fakeLedger{state: ledger.NewState()}}

	for _, name := range []string{"vm1", "vm2"} {
		link := &fakeLedger{state: w.ledger.state}
		w.links = append(w.links, link)
		w.schedulers = append(w.schedulers, w.newScheduler(name, link))
	}

	for i, id := range []string{"w1", "w2", "w3"} {
		w.workers = append(w.workers, newFakeWorker(id, 1+0.02*float64(i-1)))
	}

	return w
}

func newFakeWorker(id string, rate float64) *fakeWorker {
	return &fakeWorker{
		id: id, incarnation: 1, clockRate: rate,
		running: make(map[mill.TaskRef]bool), completed: make(map[mill.TaskRef]mill.TaskState),
	}
}

func (w *world) newScheduler(name string, link *fakeLedger) *Scheduler {
	settings := conf.Default()
	settings.VM = name
	settings.SetClusterMap(&conf.Cluster{DataCentres: []conf.DataCentre{{Name: "dc", VMs: []conf.VM{
		{Name: "vm1", HTTP: "127.0.0.1:0", Entry: "127.0.0.1:0", Sched: "127.0.0.1:0"},
		{Name: "vm2", HTTP: "127.0.0.1:0", Entry: "127.0.0.1:0", Sched: "127.0.0.1:0"},
	}}}})

	s, err := New(settings)
	if err != nil {
		w.t.Fatalf("scheduler: %v", err)
	}

	s.ledgers = sharedLedger{w: w, link: link}
	s.control = ctrl.NewWatcher(wire.NewClient(), nil)
	s.now = func() time.Time { return w.clock }
	s.leaseChangedAt = w.clock

	return s
}

// sharedLedger is one scheduler's connection to the ledger that all schedulers share.
type sharedLedger struct {
	w    *world
	link *fakeLedger
}

func (s sharedLedger) Propose(ctx context.Context, name string, command ledger.Command) (ledger.Result, error) {
	s.link.index = s.w.ledger.index
	result, err := s.link.Propose(ctx, name, command)
	s.w.ledger.index = s.link.index

	return result, err
}

func (s sharedLedger) Changes(ctx context.Context, request *ledger.ChangesRequest) (*ledger.ChangesReply, error) {
	s.link.index = s.w.ledger.index

	return s.link.Changes(ctx, request)
}

func (w *world) submit(id string, kind mill.JobKind, tasks int) {
	w.ledger.index++
	w.ledger.state.Apply(w.ledger.index, &ledger.Command{Submit: &ledger.Submit{ID: id, Spec: mill.JobSpec{
		Kind: kind, Team: "t", Tasks: tasks, PerTask: mill.Resources{MilliCores: taskCores}, MaxRetries: 2,
	}}})
}

func (w *world) cancel(id string) {
	w.ledger.index++
	w.ledger.state.Apply(w.ledger.index, &ledger.Command{Cancel: &ledger.Cancel{ID: id}})
}

// renew runs one iteration of a scheduler's renewal loop, with a reply that is delayed by the given
// time.
func (w *world) renew(at int, delay time.Duration) {
	s := w.schedulers[at]

	term := s.nextTerm()
	if term == 0 {
		return
	}

	sent := s.now()

	result, err := s.ledgers.Propose(context.Background(), "dc", ledger.Command{
		Lead: &ledger.Lead{Holder: s.holder, Term: term},
	})

	w.advance(delay)

	if err == nil {
		s.onRenewed(term, sent, &result)
	}
}

// resign gives up a scheduler's lease as a planned stop does.
func (w *world) resign(at int) {
	s := w.schedulers[at]

	if term := s.resignTerm(); term > 0 {
		_, _ = s.ledgers.Propose(context.Background(), "dc", ledger.Command{Lead: &ledger.Lead{Term: term}})
	}
}

// read makes a scheduler read the ledger. The reply is merged later.
func (w *world) read(at int) {
	s := w.schedulers[at]

	reply, err := s.ledgers.Changes(context.Background(), &ledger.ChangesRequest{Since: s.index, Limit: 4})
	if err == nil {
		w.unmergedReads = append(w.unmergedReads, ledgerRead{scheduler: at, from: s.index, reply: reply})
	}
}

func (w *world) mergeOldest() {
	if len(w.unmergedReads) == 0 {
		return
	}

	next := w.unmergedReads[0]
	w.unmergedReads = w.unmergedReads[1:]
	w.schedulers[next.scheduler].mergeChanges(next.from, next.reply)
}

func (w *world) follow(at int) {
	w.read(at)

	for len(w.unmergedReads) > 0 {
		w.mergeOldest()
	}
}

func (w *world) plan(at int) {
	w.schedulers[at].tick(context.Background())
}

// heartbeat sends a worker's heartbeat to a scheduler; the reply may be delayed or lost.
func (w *world) heartbeat(worker, at int, delay time.Duration, lost bool) {
	f := w.workers[worker]
	s := w.schedulers[at]

	if f.frozen || !s.active {
		return
	}

	w.enforceLease(f)

	sent := w.clock
	heartbeat := f.report()
	orders := &mill.Orders{}
	err := s.processHeartbeat(context.Background(), heartbeat, orders)

	w.advance(delay)

	if err != nil || lost || f.incarnation != heartbeat.Incarnation || f.frozen {
		return
	}

	w.enforceLease(f)
	f.obey(orders, sent)
	w.check()
}

func (f *fakeWorker) report() *mill.Heartbeat {
	heartbeat := &mill.Heartbeat{
		ID: f.id, Incarnation: f.incarnation, Capacity: mill.Resources{MilliCores: workerCores},
	}

	for _, ref := range sortedRefs(f.running) {
		heartbeat.Reports = append(heartbeat.Reports, mill.TaskReport{TaskRef: ref, State: mill.TaskAssigned})
	}

	for _, ref := range sortedRefs(f.completed) {
		heartbeat.Reports = append(heartbeat.Reports, mill.TaskReport{TaskRef: ref, State: f.completed[ref]})
	}

	return heartbeat
}

// obey executes orders and extends the lease by the worker's own clock.
func (f *fakeWorker) obey(orders *mill.Orders, sent time.Time) {
	length := time.Duration(float64(orders.LeaseMilli) * f.clockRate * float64(time.Millisecond))
	f.lease = sent.Add(length)

	for _, ref := range orders.Forget {
		delete(f.completed, ref)
	}

	for _, ref := range orders.Stop {
		if f.running[ref] {
			delete(f.running, ref)
			f.completed[ref] = mill.TaskCanceled
		}
	}

	for i := range orders.Run {
		ref := orders.Run[i].TaskRef
		if _, ended := f.completed[ref]; !ended {
			f.running[ref] = true
		}
	}
}

// enforceLease stops the runs of a worker whose lease has expired.
func (w *world) enforceLease(f *fakeWorker) {
	if w.clock.After(f.lease) {
		clear(f.running)
		clear(f.completed)
	}

	if w.clock.After(f.previousLease) {
		f.previousRuns = nil
	}
}

// restart begins a new incarnation of a worker. With keepPrevious set the old one keeps running its
// tasks until its lease expires.
func (w *world) restart(worker int, keepPrevious bool) {
	f := w.workers[worker]
	next := newFakeWorker(f.id, f.clockRate)
	next.incarnation = f.incarnation + 1

	if keepPrevious && f.previousRuns == nil {
		next.previousRuns = f.running
		next.previousLease = f.lease
	} else {
		next.previousRuns = f.previousRuns
		next.previousLease = f.previousLease
	}

	w.workers[worker] = next
}

// finish completes one run of a worker.
func (w *world) finish(worker int, state mill.TaskState) {
	f := w.workers[worker]
	w.enforceLease(f)

	if f.frozen {
		return
	}

	for _, ref := range sortedRefs(f.running) {
		delete(f.running, ref)
		f.completed[ref] = state

		return
	}
}

// describe returns the state of all schedulers and workers for a failure message.
func (w *world) describe() string {
	var text strings.Builder

	for _, s := range w.schedulers {
		fmt.Fprintf(&text,
			"\n%s active %t term %d since %s ago until %s ago complete %t index %d of %d dirty %t jobs %d unconfirmed %d",
			s.holder, s.active, s.term, w.ago(s.activeSince), w.ago(s.authorizedUntil), s.mirrorComplete(),
			s.index, w.ledger.index, s.dirty, len(s.mirror.jobs), len(s.mirror.unconfirmed))

		for id, known := range s.mirror.workers {
			fmt.Fprintf(&text, "; %s live %t last heartbeat %s incarnation %d tasks %v",
				id, known.live, w.ago(known.lastHeartbeat), known.incarnation, known.tasks)
		}
	}

	for _, f := range w.workers {
		fmt.Fprintf(&text, "\n%s incarnation %d lease %s running %v completed %v frozen %t previous runs %v until %s",
			f.id, f.incarnation, w.ago(f.lease), f.running, f.completed, f.frozen, f.previousRuns, w.ago(f.previousLease))
	}

	return text.String()
}

func (w *world) ago(at time.Time) string {
	return w.clock.Sub(at).String()
}

func (w *world) advance(length time.Duration) {
	w.clock = w.clock.Add(length)
	w.check()
}

// check expects every task to run in at most one place and no worker to exceed its capacity.
func (w *world) check() {
	places := make(map[taskID]string)

	for _, f := range w.workers {
		if w.clock.Before(f.lease) && !f.frozen {
			w.recordPlaces(places, f.id, f.running)
		}

		if w.clock.Before(f.previousLease) {
			w.recordPlaces(places, f.id+" before its restart", f.previousRuns)
		}
	}
}

// taskID identifies a task regardless of the attempt.
type taskID struct {
	job   string
	index int
}

func (w *world) recordPlaces(places map[taskID]string, where string, running map[mill.TaskRef]bool) {
	if len(running)*taskCores > workerCores {
		w.t.Fatalf("%s runs %d tasks but has capacity for %d", where, len(running), workerCores)
	}

	for ref := range running {
		id := taskID{job: ref.Job, index: ref.Index}
		if other, ok := places[id]; ok {
			w.t.Fatalf("task %v runs on %s and on %s: %s", id, other, where, w.describe())
		}

		places[id] = where
	}
}

// heal ends all faults and runs the schedulers and workers for the given time.
func (w *world) heal(length time.Duration) {
	const step = 250 * time.Millisecond

	for at := range w.schedulers {
		w.links[at].unreachable = false
		w.links[at].loseNextReply = false
	}

	for _, f := range w.workers {
		f.frozen = false
	}

	for passed := time.Duration(0); passed < length; passed += step {
		w.step()
		w.advance(step)
	}
}

func (w *world) step() {
	for at := range w.schedulers {
		w.renew(at, 0)
		w.follow(at)
		w.plan(at)
	}

	for worker := range w.workers {
		for at := range w.schedulers {
			w.heartbeat(worker, at, 0, false)
		}
	}
}
