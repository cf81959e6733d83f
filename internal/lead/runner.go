package lead

import (
	"context"
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
	// runnerEvents bounds the answers that wait to be read: every order in flight has one.
	runnerEvents = 1 << 14
	// planPause is the least time between two plans, so that answers share one.
	planPause = 3 * time.Millisecond
	// planRest is the pause after a plan as a multiple of what it took, so that the rest of the
	// process, the consensus before all, has most of the processor under any backlog.
	planRest = 3
	// planIdle is the longest time between two plans: lapses and retries are due then.
	planIdle = 50 * time.Millisecond
	// summaryTime is how often a line tells what the scheduler has in hand.
	summaryTime = time.Second
	// answerSlack is what an answer may take beyond the wait that was asked for.
	answerSlack = 600 * time.Millisecond
)

// Outside is what a runner needs of the process that it runs in.
type Outside struct {
	Orders mill.WorkerOrders
	// Machines is the provider's side; nil where there is none.
	Machines mill.Machines
	// Advise asks the advisor from a caller's address.
	Advise func(ctx context.Context, ask *Ask) (*mill.Advice, error)
	// Propose has commands committed and then calls done.
	Propose func(commands []jobs.Command, done func(results []jobs.Result, err error))
	// View calls a function with the state, which must not change meanwhile.
	View func(read func(state *jobs.State))
	// Wall returns the time of day in milliseconds since 1970, by several clocks.
	Wall func(now time.Time) int64
	// Pool runs what waits for answers.
	Pool *ants.Pool
	// Scope is where metrics are made; nil for none.
	Scope tally.Scope
}

// Runner carries out a scheduler's actions on one goroutine.
type Runner struct {
	scheduler *Scheduler
	outside   Outside
	events    *ring.Ring[func(now time.Time)]
	context   context.Context
	summed    time.Time
	counters  counters
}

// NewRunner returns a runner for a term; its context ends the term.
func NewRunner(ctx context.Context, scheduler *Scheduler, outside Outside) *Runner {
	return &Runner{
		scheduler: scheduler,
		outside:   outside,
		events:    ring.New[func(now time.Time)](runnerEvents),
		context:   ctx,
		counters:  newCounters(outside.Scope),
	}
}

// Report takes note of a worker's status.
func (r *Runner) Report(status *mill.WorkerStatus, at time.Time) {
	r.post(func(time.Time) { r.scheduler.Report(status, at) })
}

// Remove takes note of a worker's planned end.
func (r *Runner) Remove(id string) {
	r.post(func(now time.Time) { r.scheduler.Remove(id, now) })
}

// Caller takes note that the advisor can be asked from an address.
func (r *Runner) Caller(address string) {
	r.post(func(now time.Time) { r.scheduler.Caller(address, now) })
}

// Wake has the runner look at the state again.
func (r *Runner) Wake() {
	r.post(func(time.Time) {})
}

// Run schedules until the term ends.
func (r *Runner) Run() {
	for r.context.Err() == nil {
		r.wait()

		now := time.Now()

		var actions Actions

		wall := r.outside.Wall(now)

		r.outside.View(func(state *jobs.State) {
			actions = r.scheduler.Next(now, wall, state)
		})
		r.counters.plan.RecordDuration(time.Since(now))
		r.perform(&actions)
		r.logEvents()
		r.logSummary(now)
		drive.Pause(r.context, max(planPause, planRest*time.Since(now)))
	}
}

// wait takes the events that have come, or none when it gets late.
func (r *Runner) wait() {
	ctx, cancel := context.WithTimeout(r.context, planIdle)
	defer cancel()

	batch, err := r.events.TakeBatch(ctx, runnerEvents)
	if err != nil {
		return
	}

	now := time.Now()
	for _, event := range batch {
		event(now)
	}
}

func (r *Runner) perform(actions *Actions) {
	if commands := actions.Commands; len(commands) > 0 {
		r.outside.Propose(commands, func(results []jobs.Result, err error) {
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

	for i := range actions.Upkeeps {
		r.submit(func() { r.upkeep(&actions.Upkeeps[i]) })
	}

	if actions.ListMachines {
		r.submit(r.list)
	}

	for i := range actions.Asks {
		r.submit(func() { r.ask(&actions.Asks[i]) })
	}
}

// order gives an order within its time.
func (r *Runner) order(give func(ctx context.Context) mill.OrderReply) mill.OrderReply {
	ctx, cancel := context.WithTimeout(r.context, r.scheduler.bounds.orderTime())
	defer cancel()

	return give(ctx)
}

func (r *Runner) start(start *Start) {
	reply := r.order(func(ctx context.Context) mill.OrderReply {
		return r.outside.Orders.Start(ctx, start.To, &start.Order)
	})
	r.post(func(now time.Time) { r.scheduler.StartAnswered(start, reply, now) })
}

func (r *Runner) stop(stop *Stop) {
	reply := r.order(func(ctx context.Context) mill.OrderReply {
		return r.outside.Orders.Stop(ctx, stop.To, stop.Run, stop.Fence)
	})
	r.post(func(now time.Time) { r.scheduler.StopAnswered(stop, reply, now) })
}

func (r *Runner) pace(pace *Pace) {
	reply := r.order(func(ctx context.Context) mill.OrderReply {
		return r.outside.Orders.Pace(ctx, pace.To, &pace.Order)
	})
	r.post(func(now time.Time) { r.scheduler.PaceAnswered(pace, reply, now) })
}

func (r *Runner) renew(renew *Renew) {
	asked := time.Now()

	ctx, cancel := context.WithTimeout(r.context, renew.Order.Wait+max(answerSlack, r.scheduler.bounds.OrderTime))
	defer cancel()

	reply := r.outside.Orders.Renew(ctx, renew.To, &renew.Order)
	r.post(func(now time.Time) { r.scheduler.RenewAnswered(renew, &reply, asked, now) })
}

// providerTime bounds a call of the provider, who may be slow.
const providerTime = 2 * time.Second

func (r *Runner) upkeep(order *Upkeep) {
	ctx, cancel := context.WithTimeout(r.context, providerTime)
	defer cancel()

	outcome := mill.MaintenanceUnanswered
	if r.outside.Machines != nil {
		outcome = r.outside.Machines.BeginMaintenance(ctx, order.Machine, order.Wave, order.Fence)
	}

	log.Info().Str("machine", order.Machine).Int("wave", order.Wave).Str("outcome", outcome.String()).Msg("upkeep ordered")
	r.post(func(now time.Time) { r.scheduler.UpkeepAnswered(order, outcome, now) })
}

func (r *Runner) list() {
	asked := time.Now()

	ctx, cancel := context.WithTimeout(r.context, providerTime)
	defer cancel()

	var machines []mill.Machine

	if r.outside.Machines != nil {
		listed, err := r.outside.Machines.List(ctx)
		if err != nil {
			log.Warn().Err(err).Msg("the provider did not list its machines")
		}

		machines = listed
	}

	r.post(func(time.Time) { r.scheduler.MachinesListed(machines, asked) })
}

func (r *Runner) ask(ask *Ask) {
	ctx, cancel := context.WithTimeout(r.context, ask.Limit)
	defer cancel()

	answer, err := r.outside.Advise(ctx, ask)
	if err != nil {
		log.Warn().Err(err).Str("step", ask.Step.String()).Str("caller", ask.Caller).Msg("advisor did not answer")

		answer = nil
	}

	r.post(func(now time.Time) { r.scheduler.Advised(ask, answer, now) })
}

// submit runs a call on the pool; a full pool is waited for on a goroutine of its own,
// since the answers that free it are read by this one.
func (r *Runner) submit(call func()) {
	if err := r.outside.Pool.Submit(call); err != nil {
		log.Warn().Err(err).Msg("the pool for orders is full")

		go call()
	}
}

func (r *Runner) post(event func(now time.Time)) {
	// A runner that does not keep up must not lose an answer, so this waits.
	if err := r.events.Put(r.context, event); err != nil {
		return
	}
}

// logSummary logs each second what the scheduler has in hand.
func (r *Runner) logSummary(now time.Time) {
	if now.Sub(r.summed) < summaryTime {
		return
	}

	r.summed = now

	r.outside.View(func(state *jobs.State) {
		s := r.scheduler.Summary(now, state)
		r.counters.show(&s)

		log.Info().Int("open", s.Open).Int("waitingSteps", s.Steps).Int("asking", s.Asking).Int("runs", s.Runs).
			Int("doubtful", s.Doubtful).Int("workers", s.Workers).Int("usable", s.Usable).Int("callers", s.Callers).
			Int("busyCallers", s.Busy).Msg("in hand")
	})
}

func (r *Runner) logEvents() {
	for _, e := range r.scheduler.TakeEvents() {
		r.counters.count(&e)

		log.Info().Str("task", e.Task.String()).Int("run", e.Run).Str("worker", e.Worker).
			Str("detail", e.Detail).Msg(string(e.Kind))
	}
}
