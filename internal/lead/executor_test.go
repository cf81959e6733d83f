package lead

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The time limits of the simulated workers and their advisor.
const (
	simMaxLease    = 6 * time.Second
	simStopTime    = 300 * time.Millisecond
	simGangTimeout = 3 * time.Second
	simValidity    = 2 * time.Second
	simDecideTime  = 100 * time.Millisecond
	simCrashTime   = 3 * time.Second
	// simContact and simReportInterval are the time and the interval between reports after which a capacity that
	// has shrunk counts.
	simContact        = 3 * time.Second
	simReportInterval = 1500 * time.Millisecond
)

// execution is one run on an executor.
type execution struct {
	ref       mill.RunRef
	step      *mill.Step
	duration  time.Duration
	done      time.Duration
	startedAt time.Time
	stopsAt   time.Time
	fails     bool
	// end is how the run ends as a member of a failing gang; nil before the gang has failed.
	end     *memberEnd
	percent float64
	// slowedPercent is by how much the run is throttled.
	slowedPercent int
	// late says that the start order was carried out seconds after it was sent.
	late bool
}

// simCapacity is the number of thousandths of a core, and of MiB of memory, that an executor begins with.
const simCapacity = 4000

// pastCapacity is a capacity that an executor had until a time.
type pastCapacity struct {
	until    time.Time
	capacity mill.Resources
}

// executor simulates a worker as the platform's interface specifies it.
type executor struct {
	sim       *simulation
	id        string
	address   string
	lives     int
	crashedAt time.Time
	startedAt time.Time
	// clockSetBack is by how much the wall clock was set back.
	clockSetBack time.Duration
	drift        float64
	capacity     mill.Resources
	// pastCapacities holds the capacities that the executor had before, the oldest first.
	pastCapacities []pastCapacity
	rack           string
	// pool is the service that the executor runs tasks of.
	pool         string
	up           bool
	disconnected bool
	draining     bool
	// unheard loses the worker's reports, mute the orders to it.
	unheard bool
	mute    bool
	// refusesStops makes the worker refuse to stop runs because it is unhealthy.
	refusesStops bool
	// leaving says that the worker has announced that it is shutting down, and returnsAt when it may start again.
	leaving   bool
	returnsAt time.Time
	// disturbedAt is when the worker or its link was last disturbed; see checkCanceled.
	disturbedAt time.Time
	// fails makes every run fail early, hangs stops the progress of all runs.
	fails         bool
	hangs         bool
	fence         uint64
	leaseEndMilli int64
	// leaseExpiredAt is the last time at which the executor had no lease.
	leaseExpiredAt time.Time
	running        map[mill.TaskID]*execution
	finished       []mill.FinishedRun
	finishNumber   uint64
	// lastFinishedRun holds the highest run of a task that has finished or was stopped before it started;
	// orders to start this run or an earlier one are refused.
	lastFinishedRun map[mill.TaskID]int
	sequence        uint64
}

func (e *executor) clock() int64 {
	return 1 + int64(float64(e.sim.now.Sub(e.startedAt).Milliseconds())*(1-e.drift))
}

// restart begins a new incarnation under the same id.
func (e *executor) restart() {
	e.startedAt = e.sim.now

	if e.sim.chance("clock set back", e.sim.faults.clockSetBack) {
		e.clockSetBack += 10 * time.Second
	}

	e.fence, e.leaseEndMilli, e.finishNumber, e.sequence = 0, 0, 0, 0
	e.running = make(map[mill.TaskID]*execution)
	e.lastFinishedRun = make(map[mill.TaskID]int)
	e.finished = nil
	e.leaving = false
	e.disturbedAt = e.sim.now
}

func (e *executor) startUnixMilli() int64 {
	return e.startedAt.Add(-e.clockSetBack).UnixMilli()
}

// reachable reports whether orders reach the worker.
func (e *executor) reachable() bool {
	return e.up && !e.disconnected && !e.mute
}

// reports reports whether the leader receives the worker's reports.
func (e *executor) reports() bool {
	return e.up && !e.disconnected && !e.unheard && !e.leaving
}

// comeBack starts the worker again if it is down, as soon as it may.
func (e *executor) comeBack() {
	if wait := e.returnsAt.Sub(e.sim.now); wait > 0 {
		e.sim.after(wait, e.comeBack)

		return
	}

	if !e.up {
		e.up = true
		e.restart()
	}
}

// leave announces that the worker is shutting down. If the answer is lost, it runs on for some seconds. Now and then the
// announcement arrives once more, late.
func (e *executor) leave() {
	if e.sim.flip("announcement repeated") {
		e.sim.after(time.Duration(1+e.sim.choices%40)*100*time.Millisecond, e.announceShutdown)
	}

	after := 3 * simStep
	if e.sim.flip("answer lost") {
		after = time.Duration(1+e.sim.choices%30) * 100 * time.Millisecond
	}

	e.leaveAfter(after)
}

// leaveAfter announces that the worker is shutting down, and ends it some time later.
func (e *executor) leaveAfter(after time.Duration) {
	incarnation := e.startedAt
	e.leaving = true
	e.returnsAt = e.sim.now.Add(after + 2*minRestartTime)

	e.announceShutdown()
	e.sim.after(after, func() {
		if e.up && e.startedAt.Equal(incarnation) {
			e.crash()
		}
	})
}

func (e *executor) announceShutdown() {
	e.sim.leader.scheduler.WorkerLeaving(e.id, e.sim.now)
}

func (e *executor) status() *mill.WorkerStatus {
	e.sequence++

	return &mill.WorkerStatus{
		ID:             e.id,
		StartUnixMilli: e.startUnixMilli(),
		Service:        e.pool,
		Address:        e.address,
		Rack:           e.rack,
		Labels:         []string{"a", e.rack},
		Capacity:       e.capacity,
		Draining:       e.draining,
		ClockMilli:     e.clock(),
		Sequence:       e.sequence,
	}
}

// resize changes the executor's capacity while it runs. Its next report shows that.
func (e *executor) resize(capacity mill.Resources) {
	e.pastCapacities = append(e.pastCapacities, pastCapacity{until: e.sim.now, capacity: e.capacity})
	e.disturbedAt = e.sim.now
	e.capacity = capacity
}

// hadCapacity reports whether the executor has, or had at some time since then, a capacity for the given load.
func (e *executor) hadCapacity(load mill.Resources, since time.Time) bool {
	return load.Fits(e.capacity) || slices.ContainsFunc(e.pastCapacities, func(past pastCapacity) bool {
		return past.until.After(since) && load.Fits(past.capacity)
	})
}

func (e *executor) used() mill.Resources {
	var used mill.Resources
	for _, a := range e.running {
		used = used.Add(a.step.Reserves())
	}

	return used
}

// refusesFence records a fencing token and reports whether it is lower than an earlier one.
func (e *executor) refusesFence(fence uint64) bool {
	if fence < e.fence {
		return true
	}

	e.fence = fence

	return false
}

func (e *executor) extend(until int64) {
	limit := e.clock() + simMaxLease.Milliseconds()
	e.leaseEndMilli = max(e.leaseEndMilli, min(until, limit))
}

func (e *executor) reply(outcome mill.OrderOutcome) mill.OrderReply {
	return mill.OrderReply{Outcome: outcome, ClockMilli: e.clock()}
}

func (e *executor) start(order *mill.StartOrder, late bool) mill.OrderReply {
	if e.refusesFence(order.FencingToken) {
		return e.reply(mill.OutcomeFenced)
	}

	if a, ok := e.running[order.Task]; ok && a.ref.Run == order.Run {
		e.extend(order.LeaseExpiryMilli)

		return e.reply(mill.OutcomeAccepted)
	}

	if order.Run <= e.lastFinishedRun[order.Task] {
		e.extend(order.LeaseExpiryMilli)

		return e.reply(mill.OutcomeFinished)
	}

	if order.LeaseExpiryMilli <= e.clock() {
		return e.reply(mill.OutcomeExpired)
	}

	if !e.sim.ticketHolds(order, e) {
		return e.reply(mill.OutcomeNoTicket)
	}

	if e.fails && e.sim.flip("shed") {
		return e.reply(mill.OutcomeUnhealthy)
	}

	e.extend(order.LeaseExpiryMilli)
	e.begin(order, late)

	return e.reply(mill.OutcomeAccepted)
}

func (e *executor) begin(order *mill.StartOrder, late bool) {
	job := e.sim.specs[order.Task.Job]
	step := &job.work.Steps[order.Task.Step]

	e.sim.checkStart(e, order, late)

	a := &execution{
		ref:       mill.RunRef{Task: order.Task, Run: order.Run},
		step:      step,
		duration:  job.duration,
		startedAt: e.sim.now,
		fails:     e.fails || e.sim.runFails(mill.RunRef{Task: order.Task, Run: order.Run}),
		late:      late,
	}
	e.running[order.Task] = a

	e.sim.checkCapacity(e, order.Task, late)
	e.sim.tenants.checkStart(order.Task, late)

	if e.sim.crashingTasks[order.Task] {
		e.sim.after(max(simStep, e.sim.crashDelay), func() {
			if e.running[order.Task] == a {
				e.crashUnder(order.Task)
			}
		})
	}
}

// crash ends the executor without notice.
func (e *executor) crash() {
	for task := range e.running {
		e.sim.losses[task]++
	}

	e.up = false
	e.crashedAt = e.sim.now
	e.running = make(map[mill.TaskID]*execution)
}

// crashUnder crashes the executor because of a task. It is back after some seconds, half of the times under a new id.
func (e *executor) crashUnder(task mill.TaskID) {
	e.sim.crashes[task]++
	e.crash()

	if e.sim.staysAway {
		return
	}

	e.sim.after(simCrashTime, func() {
		if e.up {
			return
		}

		if e.sim.flip("new id") {
			e.lives++
			e.id = fmt.Sprintf("%s-%d", e.address, e.lives)
		}

		e.up = true
		e.restart()
	})
}

func (e *executor) stop(run mill.RunRef, fence uint64) mill.OrderReply {
	if e.refusesFence(fence) {
		return e.reply(mill.OutcomeFenced)
	}

	if e.refusesStops || e.fails && e.sim.shedsStops && e.sim.flip("shed stop") {
		return mill.OrderReply{Outcome: mill.OutcomeUnhealthy}
	}

	a, ok := e.running[run.Task]
	if ok && a.ref.Run == run.Run {
		if a.stopsAt.IsZero() {
			a.stopsAt = e.sim.now.Add(simStopTime)
		}
	} else {
		e.lastFinishedRun[run.Task] = max(e.lastFinishedRun[run.Task], run.Run)
	}

	return e.reply(mill.OutcomeAccepted)
}

func (e *executor) renew(order *mill.RenewOrder) mill.RenewReply {
	if e.refusesFence(order.FencingToken) {
		return mill.RenewReply{OrderReply: e.reply(mill.OutcomeFenced)}
	}

	if order.LeaseExpiryMilli > 0 {
		e.extend(order.LeaseExpiryMilli)
	}

	for len(e.finished) > 0 && e.finished[0].Number <= order.Acknowledged {
		e.sim.checkAcknowledged(e, &e.finished[0])
		e.finished = e.finished[1:]
	}

	reply := mill.RenewReply{OrderReply: e.reply(mill.OutcomeAccepted), StartUnixMilli: e.startUnixMilli()}
	reply.Finished = append(reply.Finished, e.finished...)

	for _, a := range e.executions() {
		row := mill.RunStatus{RunRef: a.ref, Percent: a.percent, Gauge: e.tailMilli(a)}
		if a.step.Checkpointing {
			row.Checkpoint = fmt.Sprintf("%s-%d", a.ref.Task, a.done.Milliseconds())
		}

		reply.Running = append(reply.Running, row)
	}

	return reply
}

func (e *executor) pace(order *mill.PaceOrder) mill.OrderReply {
	if e.refusesFence(order.FencingToken) {
		return e.reply(mill.OutcomeFenced)
	}

	if a, ok := e.running[order.Task]; ok && a.ref.Run == order.Run {
		a.slowedPercent = 100 - order.Percent
	}

	return e.reply(mill.OutcomeAccepted)
}

// tailMilli returns the tail latency of a serving task: half of its target, plus the whole target
// for each core that the best-effort tasks beside it use.
func (e *executor) tailMilli(a *execution) float64 {
	if a.step.TailLatencyTarget == 0 {
		return 0
	}

	target := float64(a.step.TailLatencyTarget.Milliseconds())
	tail := target / 2

	for _, other := range e.running {
		if other.step.BestEffort {
			tail += target * float64(other.step.PerTask.MilliCores) / 1000 * float64(100-other.slowedPercent) / 100
		}
	}

	return tail
}

func (e *executor) finish(a *execution, cause mill.FinishCause) {
	delete(e.running, a.ref.Task)

	e.finishNumber++
	e.lastFinishedRun[a.ref.Task] = max(e.lastFinishedRun[a.ref.Task], a.ref.Run)
	e.finished = append(e.finished, mill.FinishedRun{RunRef: a.ref, Number: e.finishNumber, Cause: cause})
	e.sim.checkFinish(e, a, cause)

	if cause == mill.FinishFailed {
		e.sim.attempts.recordFailed(a.ref)
	}
}

// executions returns the runs in a fixed order, so that a seed replays.
func (e *executor) executions() []*execution {
	return slices.SortedFunc(maps.Values(e.running), func(a, b *execution) int {
		return strings.Compare(a.ref.Task.String(), b.ref.Task.String())
	})
}

// advance simulates a span of time on the executor.
func (e *executor) advance(length time.Duration) {
	if !e.up {
		return
	}

	if e.clock() > e.leaseEndMilli {
		e.leaseExpiredAt = e.sim.now
	}

	for _, a := range e.executions() {
		if e.running[a.ref.Task] != a {
			continue // It has finished with its gang.
		}

		switch {
		case e.clock() > e.leaseEndMilli:
			e.finish(a, mill.FinishLeaseExpired)
		case !a.stopsAt.IsZero() && !e.sim.now.Before(a.stopsAt):
			e.finish(a, mill.FinishStopped)
		case a.end != nil:
			if !e.sim.now.Before(a.end.at) {
				e.finish(a, a.end.cause)
			}
		case a.step.Gang && !e.sim.gangComplete(a):
			e.abortIncompleteGang(a)
		case !e.hangs:
			e.work(a, length)
		default:
		}
	}
}

// abortIncompleteGang finishes a run whose gang has lost a member or was not complete in time.
func (e *executor) abortIncompleteGang(a *execution) {
	if e.sim.gangMemberFinished(a) {
		e.finish(a, mill.FinishGangMemberLost)
	} else if e.sim.now.Sub(a.startedAt) > simGangTimeout {
		e.finish(a, mill.FinishGangTimeout)
	}
}

func (e *executor) work(a *execution, length time.Duration) {
	a.done += length * time.Duration(100-a.slowedPercent) / 100
	a.percent = float64(100*a.done) / float64(a.duration)

	if a.fails && a.done*3 > a.duration {
		if a.step.Gang {
			e.sim.failGang(a)
		} else {
			e.finish(a, mill.FinishFailed)
		}

		return
	}

	if a.step.LongRunning {
		a.percent = 100

		return
	}

	if a.done < a.duration {
		return
	}

	e.finish(a, mill.FinishDone)

	if a.step.Gang {
		e.sim.completeGang(a)
	}
}

// ticketText returns the ticket that the advisor issues: it names the step, the worker's
// incarnation and the time.
func ticketText(step mill.StepID, e *executor, at time.Time) string {
	return fmt.Sprintf("%s|%s|%d|%d", step, e.id, e.startedAt.UnixMilli(), at.UnixMilli())
}

func (sim *simulation) ticketHolds(order *mill.StartOrder, e *executor) bool {
	if sim.queue(order.Task.Job).Advice == nil {
		return true
	}

	var startedAt, at int64

	rest, ok := strings.CutPrefix(order.Ticket, order.Task.StepID.String()+"|"+e.id+"|")
	if !ok {
		return false
	}

	if _, err := fmt.Sscanf(rest, "%d|%d", &startedAt, &at); err != nil || startedAt != e.startedAt.UnixMilli() {
		return false
	}

	return sim.now.Sub(time.UnixMilli(at)) < simValidity
}
