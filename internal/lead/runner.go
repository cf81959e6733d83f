package lead

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/ring"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// updateCapacity bounds the updates that wait to be passed to the scheduler: the reply to every
	// outstanding order is one.
	updateCapacity = 1 << 14
	// maxPlanInterval is the longest time between two plans: expired leases and retries are handled
	// then.
	maxPlanInterval = 50 * time.Millisecond
	// summaryInterval is how often the scheduler's status is logged.
	summaryInterval = time.Second
	// replySlack is how long a reply may take beyond the wait that was asked for.
	replySlack = 600 * time.Millisecond
)

// Dependencies is what a runner needs from the process that it runs in.
type Dependencies struct {
	Orders mill.WorkerOrders
	// Machines is the provider's API for machines; nil where there is none.
	Machines mill.Machines
	// Advise sends a request to the advisor through the process that it names.
	Advise func(ctx context.Context, request *AdviceRequest) (*mill.Advice, error)
	// Propose has commands committed and then calls done.
	Propose func(commands []jobs.Command, done func(results []jobs.Result, err error))
	// Confirm returns nil once it is shown that no other leader had been elected when it was called.
	Confirm func(ctx context.Context) error
	// Contact returns how long ago, at most, a majority of the core processes answered this one as their leader; nil if it
	// cannot be replaced.
	Contact func() time.Duration
	// View calls a function with the replicated state, which must not change meanwhile.
	View func(read func(state *jobs.State))
	// WallMilli returns the wall-clock time in milliseconds since 1970, which is the median of
	// several processes' clocks.
	WallMilli func(now time.Time) int64
	// Pool is the goroutine pool for the calls that wait for replies.
	Pool *ants.Pool
	// Scope is where metrics are created; nil for none.
	Scope tally.Scope
	// ReportTenants is called about once a second with what the tenants use, and with nil when the term has ended; nil for
	// no reports.
	ReportTenants func(summaries []TenantSummary)
}

// Runner runs a scheduler for one term: it passes reports and replies to it, and carries out its
// actions. All calls of the scheduler are made from one goroutine.
type Runner struct {
	scheduler    *Scheduler
	dependencies Dependencies
	// updates holds the reports and replies that wait to be passed to the scheduler.
	updates      *ring.Ring[func(now time.Time)]
	guard        *pauseGuard
	context      context.Context
	cadence      cadence
	summarizedAt time.Time
	// plans counts the plans since the last summary, and planTime and longestPlan are their total and longest duration.
	plans       int
	planTime    time.Duration
	longestPlan time.Duration
	metrics     metrics
	saturation  atomic.Pointer[saturation]
	repeater    repeater
}

// NewRunner returns a runner for a term; canceling its context ends the term.
func NewRunner(ctx context.Context, scheduler *Scheduler, dependencies Dependencies) *Runner {
	r := &Runner{
		scheduler:    scheduler,
		dependencies: dependencies,
		updates:      ring.New[func(now time.Time)](updateCapacity),
		guard:        newPauseGuard(dependencies.Confirm, dependencies.Contact),
		context:      ctx,
		metrics:      newMetrics(dependencies.Scope),
	}
	r.repeater.onRepeat = func() {
		r.metrics.repeated.Inc(1)
		r.post(r.scheduler.OrderRepeated)
	}

	return r
}

// SaturatedFor returns for how long a service has been full at each plan while work for it waited; 0 if that is not known
// or was a while ago. It is safe for concurrent use.
func (r *Runner) SaturatedFor(service string) time.Duration {
	return r.saturation.Load().lastsFor(service, time.Now())
}

// MayAct reports whether this process has shown that it leads since it last stood still, and was in contact with a majority
// a short time ago.
func (r *Runner) MayAct() bool {
	return r.guard.mayAct()
}

// Report passes a worker's status to the scheduler.
func (r *Runner) Report(status *mill.WorkerStatus, at time.Time) {
	r.post(func(time.Time) { r.scheduler.Report(status, at) })
}

// WorkerLeaving notifies the scheduler that a worker is shutting down.
func (r *Runner) WorkerLeaving(id string) {
	r.post(func(now time.Time) { r.scheduler.WorkerLeaving(id, now) })
}

// AdvisorReachable notifies the scheduler that the advisor can be reached through the process at an
// address.
func (r *Runner) AdvisorReachable(address string) {
	r.post(func(now time.Time) { r.scheduler.AdvisorReachable(address, now) })
}

// Wake has the runner plan again soon, after a change of the state.
func (r *Runner) Wake() {
	r.post(func(time.Time) {})
}

// Run schedules until the term ends.
func (r *Runner) Run() {
	// Orders of the first plan that are not sent would make all workers seem silent.
	r.guard.awaitConfirmation(r.context)

	go r.guard.run(r.context)

	defer r.reportTenants(nil)

	for r.context.Err() == nil {
		r.handleUpdates()

		now := time.Now()
		actions := r.next(now)

		r.perform(&actions)
		r.logEvents()
		r.logSummary(now)
		drive.Pause(r.context, restAfter(time.Since(now)))
	}
}

// next plans if a plan is due, and dispatches if not.
func (r *Runner) next(now time.Time) Actions {
	if !r.cadence.planDue(now) {
		return r.scheduler.Dispatch(now)
	}

	var actions Actions

	wallMilli := r.dependencies.WallMilli(now)

	r.dependencies.View(func(state *jobs.State) {
		actions = r.scheduler.Next(now, wallMilli, state)
	})

	r.saturation.Store(r.scheduler.saturation)

	took := time.Since(now)
	r.cadence.planned(now, took)
	r.recordPlan(took)

	return actions
}

func (r *Runner) recordPlan(took time.Duration) {
	r.metrics.plan.RecordDuration(took)

	r.plans++
	r.planTime += took
	r.longestPlan = max(r.longestPlan, took)
}

// handleUpdates waits for updates and passes them to the scheduler. It returns after maxPlanInterval
// if there are none.
func (r *Runner) handleUpdates() {
	ctx, cancel := context.WithTimeout(r.context, maxPlanInterval)
	defer cancel()

	batch, err := r.updates.TakeBatch(ctx, updateCapacity)
	if err != nil {
		return
	}

	now := time.Now()
	for _, update := range batch {
		update(now)
	}
}

func (r *Runner) perform(actions *Actions) {
	if commands := actions.Commands; len(commands) > 0 {
		r.dependencies.Propose(commands, func(results []jobs.Result, err error) {
			r.post(func(now time.Time) { r.scheduler.Committed(commands, results, err, now) })
		})
	}

	for i := range actions.Starts {
		r.submit(func() { r.start(&actions.Starts[i]) })
	}

	for i := range actions.Stops {
		r.submit(func() { r.stop(&actions.Stops[i]) })
	}

	for i := range actions.Renews {
		r.submit(func() { r.renew(&actions.Renews[i]) })
	}

	for i := range actions.Paces {
		r.submit(func() { r.pace(&actions.Paces[i]) })
	}

	for i := range actions.Maintenance {
		r.submit(func() { r.startMaintenance(&actions.Maintenance[i]) })
	}

	if actions.ListMachines {
		r.submit(r.listMachines)
	}

	for i := range actions.AdviceRequests {
		r.submit(func() { r.requestAdvice(&actions.AdviceRequests[i]) })
	}
}

// sendOrder makes a call with the timeout for orders; see send.
func (r *Runner) sendOrder(call func(ctx context.Context) mill.OrderReply, done func(reply mill.OrderReply)) {
	ctx, cancel := context.WithTimeout(r.context, r.scheduler.bounds.orderTimeout())
	defer cancel()

	r.send(ctx, 0, func(ctx context.Context) mill.RenewReply {
		return mill.RenewReply{OrderReply: call(ctx)}
	}, func(reply *mill.RenewReply, _ time.Time) { done(reply.OrderReply) })
}

// send makes a call whose reply may be delayed by some time, unless this process may not act, and again if it is not
// answered soon after that.
func (r *Runner) send(
	ctx context.Context, wait time.Duration, call func(ctx context.Context) mill.RenewReply,
	done func(reply *mill.RenewReply, sentAt time.Time),
) {
	r.repeater.send(ctx, wait+r.scheduler.bounds.repeatDelay(), func(ctx context.Context) mill.RenewReply {
		if !r.guard.mayAct() {
			return mill.RenewReply{OrderReply: mill.OrderReply{Outcome: mill.OutcomeNotSent}}
		}

		return call(ctx)
	}, done)
}

func (r *Runner) start(start *Start) {
	r.sendOrder(func(ctx context.Context) mill.OrderReply {
		return r.dependencies.Orders.Start(ctx, start.To, &start.Order)
	}, func(reply mill.OrderReply) {
		r.post(func(now time.Time) { r.scheduler.StartAnswered(start, reply, now) })
	})
}

func (r *Runner) stop(stop *Stop) {
	r.sendOrder(func(ctx context.Context) mill.OrderReply {
		return r.dependencies.Orders.Stop(ctx, stop.To, stop.Run, stop.FencingToken)
	}, func(reply mill.OrderReply) {
		r.post(func(now time.Time) { r.scheduler.StopAnswered(stop, reply, now) })
	})
}

func (r *Runner) pace(pace *Pace) {
	r.sendOrder(func(ctx context.Context) mill.OrderReply {
		return r.dependencies.Orders.Pace(ctx, pace.To, &pace.Order)
	}, func(reply mill.OrderReply) {
		r.post(func(now time.Time) { r.scheduler.PaceAnswered(pace, reply, now) })
	})
}

func (r *Runner) renew(renew *Renew) {
	ctx, cancel := context.WithTimeout(r.context, renew.Order.Wait+max(replySlack, r.scheduler.bounds.OrderTimeout))
	defer cancel()

	r.send(ctx, renew.Order.Wait, func(ctx context.Context) mill.RenewReply {
		return r.dependencies.Orders.Renew(ctx, renew.To, &renew.Order)
	}, func(reply *mill.RenewReply, sentAt time.Time) {
		r.post(func(now time.Time) { r.scheduler.RenewAnswered(renew, reply, sentAt, now) })
	})
}

// providerTimeout bounds a call to the provider, which may be slow.
const providerTimeout = 2 * time.Second

// startMaintenance sends a maintenance order, which must have been carried out before a successor sends one: the provider
// may not check fencing tokens.
func (r *Runner) startMaintenance(order *Maintenance) {
	ctx, cancel := context.WithTimeout(r.context, r.scheduler.bounds.maintenanceTimeout())
	defer cancel()

	outcome := mill.MaintenanceUnanswered
	if r.dependencies.Machines != nil && r.guard.mayAct() {
		outcome = r.dependencies.Machines.BeginMaintenance(ctx, order.Machine, order.Wave, order.FencingToken)
	}

	log.Info().Str("machine", order.Machine).Int("wave", order.Wave).Str("outcome", outcome.String()).Msg("maintenance ordered")
	r.post(func(now time.Time) { r.scheduler.MaintenanceAnswered(order, outcome, now) })
}

func (r *Runner) listMachines() {
	requestedAt := time.Now()

	ctx, cancel := context.WithTimeout(r.context, providerTimeout)
	defer cancel()

	var machines []mill.Machine

	if r.dependencies.Machines != nil {
		listed, err := r.dependencies.Machines.List(ctx)
		if err != nil {
			log.Warn().Err(err).Msg("the provider did not list its machines")
		}

		machines = listed
	}

	r.post(func(time.Time) { r.scheduler.MachinesListed(machines, requestedAt) })
}

func (r *Runner) requestAdvice(request *AdviceRequest) {
	ctx, cancel := context.WithTimeout(r.context, request.Timeout)
	defer cancel()

	var advice *mill.Advice // A request whose call panics has failed.

	defer func() { r.post(func(now time.Time) { r.scheduler.AdviceAnswered(request, advice, now) }) }()

	if !r.guard.mayAct() {
		return
	}

	reply, err := r.dependencies.Advise(ctx, request)
	if err != nil {
		log.Warn().Err(err).Str("step", request.Step.String()).Str("caller", request.Address).Msg("request for advice failed")

		return
	}

	advice = reply
}

// submit runs a call on the goroutine pool. If the pool is full, the call gets a goroutine of its
// own: the calling goroutine must not wait, because it reads the replies that free the pool.
func (r *Runner) submit(call func()) {
	guarded := func() {
		defer logPanic()
		call()
	}

	if err := r.dependencies.Pool.Submit(guarded); err != nil {
		log.Warn().Err(err).Msg("goroutine pool is full, starting another goroutine")

		go guarded()
	}
}

// logPanic logs the panic of a call, which must not end the process. Deferred functions of the call have reported
// it to the scheduler as failed.
func logPanic() {
	if cause := recover(); cause != nil {
		log.Error().Str("cause", fmt.Sprint(cause)).Str("stack", string(debug.Stack())).Msg("call to another process panicked")
	}
}

func (r *Runner) post(update func(now time.Time)) {
	// Put blocks when the ring is full: a runner that does not keep up must not lose a reply.
	if err := r.updates.Put(r.context, update); err != nil {
		return
	}
}

// logSummary logs the scheduler's status every summaryInterval and updates the gauges.
func (r *Runner) logSummary(now time.Time) {
	if now.Sub(r.summarizedAt) < summaryInterval {
		return
	}

	r.summarizedAt = now

	var tenants []TenantSummary

	r.dependencies.View(func(state *jobs.State) {
		tenants = r.scheduler.TenantSummaries(state)
		s := r.scheduler.Summary(now, state)
		r.metrics.setGauges(&s)
		r.metrics.racks.add(r.scheduler.TakeRackCounts())

		log.Info().Int("open", s.OpenJobs).Int("waitingSteps", s.WaitingSteps).Int("asking", s.PendingAdvice).Int("runs", s.Runs).
			Int("doubtful", s.Doubtful).Int("workers", s.Workers).Int("usable", s.UsableWorkers).
			Int("unknownCapacity", s.UnknownCapacity).Int("onProbation", s.OnProbation).
			Int("busyOnProbation", s.BusyOnProbation).Int("callers", s.AdvisorAddresses).Int("busyCallers", s.BusyAddresses).
			Int("plans", r.plans).Dur("planTime", r.planTime).Dur("longestPlan", r.longestPlan).
			Int("examinedWorkers", s.ExaminedWorkers).Int("standing", s.StandingJobs).
			Msg("scheduler status")

		logLongestWait(&s.LongestWait)

		for i := range s.Standstills {
			logStandstill(&s.Standstills[i])
		}
	})

	r.reportTenants(tenants)
	r.plans, r.planTime, r.longestPlan = 0, 0, 0
}

func (r *Runner) reportTenants(summaries []TenantSummary) {
	if r.dependencies.ReportTenants != nil {
		r.dependencies.ReportTenants(summaries)
	}
}

func logLongestWait(w *WaitingStep) {
	if w.Wait == 0 {
		return
	}

	log.Info().Str("step", w.Step.String()).Str("queue", w.Queue).Str("tenant", w.Tenant).
		Str("reason", string(w.Reason)).Dur("wait", w.Wait).
		Int("tasks", w.Tasks).Bool("gang", w.Gang).Int("asked", w.Asked).Int("allowed", w.Allowed).
		Int("fitting", w.Fitting).Int("onProbation", w.OnProbation).Int("failedOn", w.Failed).
		Int("reserved", w.Reserved).Bool("heldBack", w.HeldBack).
		Int("waitForRack", w.WaitForRack).Str("rack", w.Rack).Str("rackReason", w.RackReason).
		Msg("step waits")
}

func logStandstill(standstill *Standstill) {
	log.Warn().Str("step", standstill.Step.String()).Str("queue", standstill.Queue).Str("reason", string(standstill.Reason)).
		Dur("idle", standstill.Idle).Int("together", standstill.Together).Int("places", standstill.Places).
		Int("workers", standstill.Workers).Int("placed", standstill.Placed).Int("asked", standstill.Asked).
		Int("allowed", standstill.Allowed).
		Msg("job stands still beside room for it")
}

func (r *Runner) logEvents() {
	for _, e := range r.scheduler.TakeEvents() {
		r.metrics.countEvent(&e)

		log.Info().Str("task", e.Task.String()).Int("run", e.Run).Str("worker", e.Worker).
			Str("detail", e.Detail).Msg(string(e.Kind))
	}
}
