package lead

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The times of the workers in the world of the tests.
const (
	worldMaxLease = 6 * time.Second
	worldStop     = 300 * time.Millisecond
	worldGangWait = 3 * time.Second
	worldValidity = 2 * time.Second
	worldDecide   = 100 * time.Millisecond
)

// activity is one run on an executor.
type activity struct {
	ref     mill.RunRef
	step    *mill.Step
	needed  time.Duration
	done    time.Duration
	began   time.Time
	stopAt  time.Time
	fails   bool
	percent float64
	// slowed is by how much of full pace it is slowed down, in percent.
	slowed int
}

// executor is a worker as the pages of the platform describe it.
type executor struct {
	w        *world
	id       string
	bornAt   time.Time
	drift    float64
	capacity mill.Resources
	rack     string
	up       bool
	cut      bool
	draining bool
	// fails makes every run fail soon, hangs makes them stand still.
	fails    bool
	hangs    bool
	fence    uint64
	until    int64
	running  map[mill.TaskID]*activity
	ended    []mill.FinishedRun
	number   uint64
	barred   map[mill.TaskID]int
	sequence uint64
}

func (e *executor) clock() int64 {
	return 1 + int64(float64(e.w.now.Sub(e.bornAt).Milliseconds())*(1-e.drift))
}

// reset begins a new life under the same id.
func (e *executor) reset() {
	e.bornAt = e.w.now
	e.fence, e.until, e.number, e.sequence = 0, 0, 0, 0
	e.running = make(map[mill.TaskID]*activity)
	e.barred = make(map[mill.TaskID]int)
	e.ended = nil
}

func (e *executor) status() *mill.WorkerStatus {
	e.sequence++

	return &mill.WorkerStatus{
		ID:             e.id,
		StartUnixMilli: e.bornAt.UnixMilli(),
		Service:        "pool",
		Address:        e.id,
		Rack:           e.rack,
		Labels:         []string{"a", e.rack},
		Capacity:       e.capacity,
		Draining:       e.draining,
		ClockMilli:     e.clock(),
		Sequence:       e.sequence,
	}
}

func (e *executor) used() mill.Resources {
	var used mill.Resources
	for _, a := range e.running {
		used = used.Add(a.step.Reserves())
	}

	return used
}

// fenced takes a token and reports whether it is too low.
func (e *executor) fenced(fence uint64) bool {
	if fence < e.fence {
		return true
	}

	e.fence = fence

	return false
}

func (e *executor) extend(until int64) {
	limit := e.clock() + worldMaxLease.Milliseconds()
	e.until = max(e.until, min(until, limit))
}

func (e *executor) reply(outcome mill.OrderOutcome) mill.OrderReply {
	return mill.OrderReply{Outcome: outcome, ClockMilli: e.clock()}
}

func (e *executor) start(order *mill.StartOrder, late bool) mill.OrderReply {
	if e.fenced(order.FencingToken) {
		return e.reply(mill.OutcomeFenced)
	}

	if a, ok := e.running[order.Task]; ok && a.ref.Run == order.Run {
		e.extend(order.LeaseExpiryMilli)

		return e.reply(mill.OutcomeAccepted)
	}

	if order.Run <= e.barred[order.Task] {
		e.extend(order.LeaseExpiryMilli)

		return e.reply(mill.OutcomeFinished)
	}

	if order.LeaseExpiryMilli <= e.clock() {
		return e.reply(mill.OutcomeExpired)
	}

	if !e.w.ticketHolds(order, e) {
		return e.reply(mill.OutcomeNoTicket)
	}

	if e.fails && e.w.flip("shed") {
		return e.reply(mill.OutcomeUnhealthy)
	}

	e.extend(order.LeaseExpiryMilli)
	e.begin(order, late)

	return e.reply(mill.OutcomeAccepted)
}

func (e *executor) begin(order *mill.StartOrder, late bool) {
	job := e.w.specs[order.Task.Job]
	step := &job.work.Steps[order.Task.Step]

	e.w.checkStart(e, order, step, late)

	a := &activity{
		ref:    mill.RunRef{Task: order.Task, Run: order.Run},
		step:   step,
		needed: job.takes,
		began:  e.w.now,
		fails:  e.fails || e.w.taskFails(order.Task),
	}
	e.running[order.Task] = a

	e.w.checkRoom(e, order.Task)
}

func (e *executor) stop(run mill.RunRef, fence uint64) mill.OrderReply {
	if e.fenced(fence) {
		return e.reply(mill.OutcomeFenced)
	}

	a, ok := e.running[run.Task]
	if ok && a.ref.Run == run.Run {
		if a.stopAt.IsZero() {
			a.stopAt = e.w.now.Add(worldStop)
		}
	} else {
		e.barred[run.Task] = max(e.barred[run.Task], run.Run)
	}

	return e.reply(mill.OutcomeAccepted)
}

func (e *executor) renew(order *mill.RenewOrder) mill.RenewReply {
	if e.fenced(order.FencingToken) {
		return mill.RenewReply{OrderReply: e.reply(mill.OutcomeFenced)}
	}

	if order.LeaseExpiryMilli > 0 {
		e.extend(order.LeaseExpiryMilli)
	}

	for len(e.ended) > 0 && e.ended[0].Number <= order.Acknowledged {
		e.w.noted(&e.ended[0])
		e.ended = e.ended[1:]
	}

	reply := mill.RenewReply{OrderReply: e.reply(mill.OutcomeAccepted), StartUnixMilli: e.bornAt.UnixMilli()}
	reply.Finished = append(reply.Finished, e.ended...)

	for _, a := range e.activities() {
		row := mill.RunStatus{RunRef: a.ref, Percent: a.percent, Gauge: e.gauge(a)}
		if a.step.Checkpointing {
			row.Checkpoint = fmt.Sprintf("%s-%d", a.ref.Task, a.done.Milliseconds())
		}

		reply.Running = append(reply.Running, row)
	}

	return reply
}

func (e *executor) pace(order *mill.PaceOrder) mill.OrderReply {
	if e.fenced(order.FencingToken) {
		return e.reply(mill.OutcomeFenced)
	}

	if a, ok := e.running[order.Task]; ok && a.ref.Run == order.Run {
		a.slowed = 100 - order.Percent
	}

	return e.reply(mill.OutcomeAccepted)
}

// gauge returns the tail of a serving task: half of its target, and as much again for
// each core of the fillers beside it that work.
func (e *executor) gauge(a *activity) float64 {
	if a.step.TailLatencyTarget == 0 {
		return 0
	}

	target := float64(a.step.TailLatencyTarget.Milliseconds())
	tail := target / 2

	for _, other := range e.running {
		if other.step.BestEffort {
			tail += target * float64(other.step.PerTask.MilliCores) / 1000 * float64(100-other.slowed) / 100
		}
	}

	return tail
}

func (e *executor) end(a *activity, cause mill.FinishCause) {
	delete(e.running, a.ref.Task)

	e.number++
	e.barred[a.ref.Task] = max(e.barred[a.ref.Task], a.ref.Run)
	e.ended = append(e.ended, mill.FinishedRun{RunRef: a.ref, Number: e.number, Cause: cause})
	e.w.ended(e, a, cause)
}

// activities returns what runs in a fixed order, so that a seed repeats.
func (e *executor) activities() []*activity {
	return slices.SortedFunc(maps.Values(e.running), func(a, b *activity) int {
		return strings.Compare(a.ref.Task.String(), b.ref.Task.String())
	})
}

// advance lets the executor work for a while.
func (e *executor) advance(length time.Duration) {
	if !e.up {
		return
	}

	for _, a := range e.activities() {
		if e.running[a.ref.Task] != a {
			continue // It has ended with its gang.
		}

		switch {
		case e.clock() > e.until:
			e.end(a, mill.FinishLeaseExpired)
		case !a.stopAt.IsZero() && !e.w.now.Before(a.stopAt):
			e.end(a, mill.FinishStopped)
		case a.step.Gang && !e.w.gangWhole(a):
			e.gangBroken(a)
		case !e.hangs:
			e.work(a, length)
		default:
		}
	}
}

func (e *executor) gangBroken(a *activity) {
	if e.w.gangLost(a) {
		e.end(a, mill.FinishGangMemberLost)
	} else if e.w.now.Sub(a.began) > worldGangWait {
		e.end(a, mill.FinishGangTimeout)
	}
}

func (e *executor) work(a *activity, length time.Duration) {
	a.done += length * time.Duration(100-a.slowed) / 100
	a.percent = float64(100*a.done) / float64(a.needed)

	if a.fails && a.done*3 > a.needed {
		e.end(a, mill.FinishFailed)

		return
	}

	if a.step.LongRunning {
		a.percent = 100

		return
	}

	if a.done < a.needed {
		return
	}

	e.end(a, mill.FinishDone)

	if a.step.Gang {
		e.w.gangDone(a)
	}
}

// ticketText is what the advisor gives out: it names the step, the life and the time.
func ticketText(step mill.StepID, e *executor, at time.Time) string {
	return fmt.Sprintf("%s|%s|%d|%d", step, e.id, e.bornAt.UnixMilli(), at.UnixMilli())
}

func (w *world) ticketHolds(order *mill.StartOrder, e *executor) bool {
	if w.queue(order.Task.Job).Advice == nil {
		return true
	}

	var life, at int64

	rest, ok := strings.CutPrefix(order.Ticket, order.Task.StepID.String()+"|"+e.id+"|")
	if !ok {
		return false
	}

	if _, err := fmt.Sscanf(rest, "%d|%d", &life, &at); err != nil || life != e.bornAt.UnixMilli() {
		return false
	}

	return w.now.Sub(time.UnixMilli(at)) < worldValidity
}
