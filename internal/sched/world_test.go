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

// failer is a test, or a check of a test.
type failer interface {
	Fatalf(format string, arguments ...any)
}

var errCut = errors.New("lost")

// fakeLedger is a real ledger state that answers at once, or loses what the
// test says.
type fakeLedger struct {
	state *ledger.State
	index uint64
	// cut keeps every call out, loseAnswer only the next answer in.
	cut        bool
	loseAnswer bool
}

func (l *fakeLedger) Propose(_ context.Context, _ string, command ledger.Command) (ledger.Result, error) {
	if l.cut {
		return ledger.Result{}, errCut
	}

	l.index++
	result := l.state.Apply(l.index, &command)
	result.Index = l.index

	if l.loseAnswer {
		l.loseAnswer = false

		return ledger.Result{}, errCut
	}

	return result, nil
}

func (l *fakeLedger) Changes(_ context.Context, request *ledger.ChangesRequest) (*ledger.ChangesReply, error) {
	if l.cut {
		return nil, errCut
	}

	reply := &ledger.ChangesReply{Commit: l.index}
	reply.Jobs, reply.Index = l.state.Changes(request.Since, request.Limit, l.index)
	reply.Leader, reply.Term, reply.Renewals = l.state.Leader()

	return reply, nil
}

// fakeWorker obeys its orders by its own clock, which may run a little fast or slow.
type fakeWorker struct {
	id          string
	incarnation uint64
	rate        float64
	lease       time.Time
	running     map[mill.TaskRef]bool
	ended       map[mill.TaskRef]mill.TaskState
	frozen      bool
	// ghost is what an earlier process of the worker may still be running.
	ghost      map[mill.TaskRef]bool
	ghostLease time.Time
}

// world is the schedulers and workers of one data centre around one ledger.
type world struct {
	t          failer
	clock      time.Time
	ledger     *fakeLedger
	links      []*fakeLedger
	schedulers []*Scheduler
	workers    []*fakeWorker
	late       []lateReply
}

// lateReply is what a scheduler has read of the ledger and not merged yet.
type lateReply struct {
	scheduler int
	from      uint64
	reply     *ledger.ChangesReply
}

const (
	workerCores = 4
	taskCores   = 1
)

func newWorld(t failer) *world {
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
		id: id, incarnation: 1, rate: rate,
		running: make(map[mill.TaskRef]bool), ended: make(map[mill.TaskRef]mill.TaskState),
	}
}

func (w *world) newScheduler(name string, link *fakeLedger) *Scheduler {
	settings := conf.Default()
	settings.VM = name
	settings.SetMap(&conf.Cluster{DataCentres: []conf.DataCentre{{Name: "dc", VMs: []conf.VM{
		{Name: "vm1", HTTP: "127.0.0.1:0", Entry: "127.0.0.1:0", Sched: "127.0.0.1:0"},
		{Name: "vm2", HTTP: "127.0.0.1:0", Entry: "127.0.0.1:0", Sched: "127.0.0.1:0"},
	}}}})

	s, err := New(settings)
	if err != nil {
		w.t.Fatalf("scheduler: %v", err)
	}

	s.ledgers = shared{w: w, link: link}
	s.control = ctrl.NewWatcher(wire.NewClient(), nil)
	s.now = func() time.Time { return w.clock }
	s.changedAt = w.clock

	return s
}

// shared is one scheduler's way to the ledger that all share.
type shared struct {
	w    *world
	link *fakeLedger
}

func (s shared) Propose(ctx context.Context, name string, command ledger.Command) (ledger.Result, error) {
	s.link.index = s.w.ledger.index
	result, err := s.link.Propose(ctx, name, command)
	s.w.ledger.index = s.link.index

	return result, err
}

func (s shared) Changes(ctx context.Context, request *ledger.ChangesRequest) (*ledger.ChangesReply, error) {
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

// renew does what the renewing duty of a scheduler does, with its answer on
// time or late.
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

	w.pass(delay)

	if err == nil {
		s.renewed(term, sent, &result)
	}
}

// resign gives a scheduler's lease up, as a planned stop does.
func (w *world) resign(at int) {
	s := w.schedulers[at]

	if term := s.resignTerm(); term > 0 {
		_, _ = s.ledgers.Propose(context.Background(), "dc", ledger.Command{Lead: &ledger.Lead{Term: term}})
	}
}

// read has a scheduler read the ledger; what it read is merged later.
func (w *world) read(at int) {
	s := w.schedulers[at]

	reply, err := s.ledgers.Changes(context.Background(), &ledger.ChangesRequest{Since: s.index, Limit: 4})
	if err == nil {
		w.late = append(w.late, lateReply{scheduler: at, from: s.index, reply: reply})
	}
}

func (w *world) mergeOldest() {
	if len(w.late) == 0 {
		return
	}

	next := w.late[0]
	w.late = w.late[1:]
	w.schedulers[next.scheduler].merge(next.from, next.reply)
}

func (w *world) follow(at int) {
	w.read(at)

	for len(w.late) > 0 {
		w.mergeOldest()
	}
}

func (w *world) plan(at int) {
	w.schedulers[at].tick(context.Background())
}

// heartbeat has a worker report to a scheduler; the reply may take time or be lost.
func (w *world) heartbeat(worker, at int, delay time.Duration, lost bool) {
	f := w.workers[worker]
	s := w.schedulers[at]

	if f.frozen || !s.active {
		return
	}

	w.lapse(f)

	sent := w.clock
	heartbeat := f.report()
	orders := &mill.Orders{}
	err := s.heartbeat(context.Background(), heartbeat, orders)

	w.pass(delay)

	if err != nil || lost || f.incarnation != heartbeat.Incarnation || f.frozen {
		return
	}

	w.lapse(f)
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

	for _, ref := range sortedRefs(f.ended) {
		heartbeat.Reports = append(heartbeat.Reports, mill.TaskReport{TaskRef: ref, State: f.ended[ref]})
	}

	return heartbeat
}

// obey sets the lease by the worker's own clock.
func (f *fakeWorker) obey(orders *mill.Orders, sent time.Time) {
	length := time.Duration(float64(orders.LeaseMilli) * f.rate * float64(time.Millisecond))
	f.lease = sent.Add(length)

	for _, ref := range orders.Forget {
		delete(f.ended, ref)
	}

	for _, ref := range orders.Stop {
		if f.running[ref] {
			delete(f.running, ref)
			f.ended[ref] = mill.TaskCanceled
		}
	}

	for i := range orders.Run {
		ref := orders.Run[i].TaskRef
		if _, ended := f.ended[ref]; !ended {
			f.running[ref] = true
		}
	}
}

// lapse stops what a worker may not run any more.
func (w *world) lapse(f *fakeWorker) {
	if w.clock.After(f.lease) {
		clear(f.running)
		clear(f.ended)
	}

	if w.clock.After(f.ghostLease) {
		f.ghost = nil
	}
}

// restart replaces a worker's process; the old one may go on until its lease ends.
func (w *world) restart(worker int, ghost bool) {
	f := w.workers[worker]
	next := newFakeWorker(f.id, f.rate)
	next.incarnation = f.incarnation + 1

	if ghost && f.ghost == nil {
		next.ghost = f.running
		next.ghostLease = f.lease
	} else {
		next.ghost = f.ghost
		next.ghostLease = f.ghostLease
	}

	w.workers[worker] = next
}

// finish ends one task that a worker runs.
func (w *world) finish(worker int, state mill.TaskState) {
	f := w.workers[worker]
	w.lapse(f)

	if f.frozen {
		return
	}

	for _, ref := range sortedRefs(f.running) {
		delete(f.running, ref)
		f.ended[ref] = state

		return
	}
}

// describe says what each part knows, for a failure.
func (w *world) describe() string {
	var text strings.Builder

	for _, s := range w.schedulers {
		fmt.Fprintf(&text, "\n%s active %t term %d since %s authority %s loaded %t index %d of %d dirty %t jobs %d ending %d",
			s.holder, s.active, s.term, w.ago(s.activeSince), w.ago(s.authority), s.loaded(),
			s.index, w.ledger.index, s.dirty, len(s.mirror.jobs), len(s.mirror.ending))

		for id, known := range s.mirror.workers {
			fmt.Fprintf(&text, "; %s live %t heard %s incarnation %d tasks %v",
				id, known.live, w.ago(known.heard), known.incarnation, known.tasks)
		}
	}

	for _, f := range w.workers {
		fmt.Fprintf(&text, "\n%s incarnation %d lease %s running %v ended %v frozen %t ghost %v until %s",
			f.id, f.incarnation, w.ago(f.lease), f.running, f.ended, f.frozen, f.ghost, w.ago(f.ghostLease))
	}

	return text.String()
}

func (w *world) ago(at time.Time) string {
	return w.clock.Sub(at).String()
}

func (w *world) pass(length time.Duration) {
	w.clock = w.clock.Add(length)
	w.check()
}

// check expects every task to run in one place at the most, and no worker to
// run more than it has.
func (w *world) check() {
	places := make(map[taskID]string)

	for _, f := range w.workers {
		if w.clock.Before(f.lease) && !f.frozen {
			w.place(places, f.id, f.running)
		}

		if w.clock.Before(f.ghostLease) {
			w.place(places, f.id+" before its restart", f.ghost)
		}
	}
}

// taskID names a task whatever the attempt.
type taskID struct {
	job   string
	index int
}

func (w *world) place(places map[taskID]string, where string, running map[mill.TaskRef]bool) {
	if len(running)*taskCores > workerCores {
		w.t.Fatalf("%s runs %d tasks and has room for %d", where, len(running), workerCores)
	}

	for ref := range running {
		id := taskID{job: ref.Job, index: ref.Index}
		if other, ok := places[id]; ok {
			w.t.Fatalf("task %v runs on %s and on %s: %s", id, other, where, w.describe())
		}

		places[id] = where
	}
}

// heal ends all faults and lets the schedulers and workers work.
func (w *world) heal(length time.Duration) {
	const step = 250 * time.Millisecond

	for at := range w.schedulers {
		w.links[at].cut = false
		w.links[at].loseAnswer = false
	}

	for _, f := range w.workers {
		f.frozen = false
	}

	for passed := time.Duration(0); passed < length; passed += step {
		w.step()
		w.pass(step)
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
