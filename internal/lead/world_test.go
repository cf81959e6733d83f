package lead

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func TestMain(m *testing.M) {
	seeds.RunAndExit(m.Run, 400)
}

// worldStep is the grain of the world's time.
const worldStep = 10 * time.Millisecond

// worldStart is when the world begins.
var worldStart = time.Unix(1_800_000_000, 0)

// failer is a test, or a check of a test.
type failer interface {
	Fatalf(format string, arguments ...any)
}

// spec is a job as its caller knows it.
type spec struct {
	work     mill.Workload
	queue    string
	takes    time.Duration
	canceled time.Time
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

// leader is one term of scheduling.
type leader struct {
	scheduler *Scheduler
	term      uint64
}

// entry is a proposal that is being committed.
type entry struct {
	at       time.Time
	by       *leader
	commands []jobs.Command
}

// faults is how likely an order meets a fault, in percent.
type faults struct {
	lostOrder  int
	lostAnswer int
	late       int
}

// world is a pool of executors, a log and its leader, in virtual time. It judges
// every start from what the executors see.
type world struct {
	t         failer
	draw      *rapid.T
	now       time.Time
	state     *jobs.State
	executors []*executor
	leader    *leader
	events    []event
	log       []entry
	specs     map[string]*spec
	faults    faults
	// doneNoted holds the tasks whose end done a worker was told is noted, or that the log holds.
	doneNoted map[mill.TaskID]bool
	failures  map[mill.TaskID]int
	poison    map[string]bool
	calm      bool
	// provider is nil in worlds without waves of upkeep.
	provider *provider
	// deaf leaders begin before any worker has reported to them.
	deaf    bool
	choices uint64
	// asks counts the questions to the advisor, and askedFor those about each job.
	asks     int
	askedFor map[string]int
}

func newWorld(t failer, draw *rapid.T, executors int) *world {
	w := &world{
		t:         t,
		draw:      draw,
		now:       worldStart,
		state:     jobs.NewState(),
		specs:     make(map[string]*spec),
		doneNoted: make(map[mill.TaskID]bool),
		failures:  make(map[mill.TaskID]int),
		poison:    make(map[string]bool),
		askedFor:  make(map[string]int),
		calm:      true,
	}

	w.state.Apply(&jobs.Command{Setup: worldSetup()})

	for i := range executors {
		w.addExecutor(i)
	}

	w.newLeader()

	return w
}

func worldSetup() *mill.Setup {
	queue := func(name string, priority int, advice *mill.AdvicePolicy) mill.Queue {
		return mill.Queue{
			Name: name, Host: "h", Prefix: "/" + name + "/", Service: "pool", MaxAttempts: 4, Priority: priority,
			Stretch: 2, Objective: time.Second, Timeout: time.Second, Advice: advice,
		}
	}

	return &mill.Setup{
		Version: 1,
		Queues: []mill.Queue{
			queue("free", 1, nil),
			queue("advised", 0, &mill.AdvicePolicy{Decide: worldDecide, Validity: worldValidity}),
		},
		Services: []mill.Service{{Name: "pool"}},
	}
}

func (w *world) addExecutor(index int) {
	e := &executor{
		w:        w,
		id:       fmt.Sprintf("x%02d", index),
		drift:    float64(index%3) * clockDrift / 2,
		capacity: mill.Resources{MilliCores: 4000, MemoryMiB: 4000, Accelerators: int64(index % 2 * 4)},
		rack:     fmt.Sprintf("r%d", index/2),
		up:       true,
	}
	e.reset()
	w.executors = append(w.executors, e)
	w.beat(e)
}

// beat sends the executor's status now and again each second and a half.
func (w *world) beat(e *executor) {
	if e.up && !e.cut {
		w.leader.report(e.status(), w.now)
	}

	w.after(1500*time.Millisecond, func() { w.beat(e) })
}

func (l *leader) report(status *mill.WorkerStatus, at time.Time) {
	if l != nil {
		l.scheduler.Report(status, at)
	}
}

func (w *world) queue(job string) *mill.Queue {
	queue, _ := w.state.Setup().Queue(w.specs[job].queue)

	return queue
}

// newLeader replaces the leader. What the old one has proposed is committed or lost.
func (w *world) newLeader() {
	keep := len(w.log)
	if keep > 0 {
		keep = w.pick("entries that survive", keep+1)
	}

	for _, one := range w.log[:keep] {
		w.apply(one.commands)
	}

	w.log = nil

	term := uint64(1)
	if w.leader != nil {
		term = w.leader.term + 1
	}

	bounds := Bounds{MaxLease: worldMaxLease, GangWait: worldGangWait, StopTime: worldStop, UpkeepTime: worldUpkeep}
	w.leader = &leader{scheduler: New(bounds, term, w.now, w.state, place.Pack{}), term: term}

	for _, e := range w.executors {
		if e.up && !e.cut && !w.deaf {
			w.leader.report(e.status(), w.now)
		}
	}
}

func (w *world) after(length time.Duration, do func()) {
	w.events = append(w.events, event{at: w.now.Add(length), do: do})
}

// pick draws a number below a limit from the test's seed, or from a hash where no draw is left.
func (w *world) pick(name string, limit int) int {
	if w.draw != nil {
		return rapid.IntRange(0, limit-1).Draw(w.draw, name)
	}

	w.choices++

	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, name, w.choices)

	return int(hash.Sum64() % uint64(limit))
}

func (w *world) flip(name string) bool {
	w.choices++

	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, name, w.choices)

	return hash.Sum64()%2 == 0
}

// chance reports whether something that happens in a percentage of cases happens now.
func (w *world) chance(name string, percent int) bool {
	if percent == 0 {
		return false
	}

	w.choices++

	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, name, w.choices)

	return int(hash.Sum64()%100) < percent
}

// run lets time pass.
func (w *world) run(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); {
		w.step()
	}
}

func (w *world) step() {
	w.now = w.now.Add(worldStep)

	due := slices.Clone(w.events)
	w.events = nil

	for _, e := range due {
		if e.at.After(w.now) {
			w.events = append(w.events, e)
		} else {
			e.do()
		}
	}

	w.commit()

	for _, e := range w.executors {
		e.advance(worldStep)
	}

	w.plan()
}

// commit applies the proposals whose time has come.
func (w *world) commit() {
	for len(w.log) > 0 && !w.log[0].at.After(w.now) {
		one := w.log[0]
		w.log = w.log[1:]
		one.by.scheduler.Committed(one.commands, w.apply(one.commands), nil, w.now)
	}
}

func (w *world) apply(commands []jobs.Command) []jobs.Result {
	results := make([]jobs.Result, 0, len(commands))

	for i := range commands {
		result := w.state.Apply(&commands[i])
		results = append(results, result)

		if end := commands[i].Finish; end != nil && result == jobs.ResultApplied && end.Cause == mill.FinishDone {
			w.noteDone(end.Task)
		}

		if end := commands[i].Finish; end != nil && result == jobs.ResultApplied && end.Cause == mill.FinishFailed {
			w.failures[end.Task]++
		}
	}

	return results
}

// noteDone takes note of an end done; that of a member stands for its whole gang.
func (w *world) noteDone(task mill.TaskID) {
	w.doneNoted[task] = true

	step := &w.specs[task.Job].work.Steps[task.Step]
	if !step.Gang {
		return
	}

	for index := range step.Count {
		w.doneNoted[task.Task(index)] = true
	}
}

func (w *world) plan() {
	l := w.leader
	l.scheduler.Caller("here", w.now)
	l.scheduler.Caller("there", w.now)

	actions := l.scheduler.Next(w.now, w.now.UnixMilli(), w.state)
	l.scheduler.TakeEvents()

	sortActions(&actions)

	if w.provider != nil {
		w.provider.carryOut(&actions)
	}

	if len(actions.Commands) > 0 {
		w.log = append(w.log, entry{at: w.now.Add(20 * time.Millisecond), by: l, commands: actions.Commands})
	}

	for i := range actions.Starts {
		w.sendStart(l, &actions.Starts[i])
	}

	for i := range actions.Stops {
		w.sendStop(l, &actions.Stops[i])
	}

	for i := range actions.Renews {
		w.sendRenew(l, &actions.Renews[i])
	}

	for i := range actions.Paces {
		w.sendPace(l, &actions.Paces[i])
	}

	for i := range actions.Asks {
		w.sendAsk(l, &actions.Asks[i])
	}
}

// sortActions puts orders in a fixed order, so that a seed repeats.
func sortActions(actions *Actions) {
	slices.SortFunc(actions.Starts, func(a, b Start) int {
		return strings.Compare(a.Order.Task.String(), b.Order.Task.String())
	})
	slices.SortFunc(actions.Stops, func(a, b Stop) int { return strings.Compare(a.Run.Task.String(), b.Run.Task.String()) })
	slices.SortFunc(actions.Paces, func(a, b Pace) int {
		return strings.Compare(a.Order.Task.String(), b.Order.Task.String())
	})
	slices.SortFunc(actions.Renews, func(a, b Renew) int { return strings.Compare(a.To.ID, b.To.ID) })
}

func (w *world) find(id string) *executor {
	for _, e := range w.executors {
		if e.id == id {
			return e
		}
	}

	return nil
}

func (w *world) submit(id, queue string, takes time.Duration, steps ...mill.Step) {
	work := mill.Workload{Spec: id, Steps: steps}
	for i := range work.Steps {
		work.Steps[i].Estimate = takes
	}

	w.specs[id] = &spec{work: work, queue: queue, takes: takes}
	w.state.Apply(&jobs.Command{Submit: &jobs.Submit{Job: id, Queue: queue, Work: work, UnixMilli: w.now.UnixMilli()}})
}

func (w *world) configure(setup *mill.Setup) {
	w.state.Apply(&jobs.Command{Setup: setup})
}

func (w *world) cancel(id string) {
	w.state.Apply(&jobs.Command{Cancel: &jobs.Cancel{Job: id}})
	w.specs[id].canceled = w.now
}
