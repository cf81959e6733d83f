package lead

import (
	"iter"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// ticket is the advisor's permission for one worker to run a step.
type ticket struct {
	text       string
	validUntil time.Time
}

// advice is what the advisor has answered about one step.
type advice struct {
	// answeredFor holds the workers that the advisor was asked about and has answered for. Those
	// without a ticket are refused.
	answeredFor map[string]bool
	// requested holds the workers named in the outstanding request.
	requested []string
	tickets   map[string]ticket
	// holders lists the workers with a ticket, which may have expired.
	holders []string
	// answered and allowed hold the workers of answeredFor and of holders that the scheduler knows.
	answered workerSet
	allowed  workerSet
	// unlisted says that there are tickets of workers that the advisor was not asked about, which allowed may lack.
	unlisted       bool
	requestPending bool
	// validUntil is the latest time until which any ticket is valid.
	validUntil time.Time
	// nextRequest is the earliest time of the next request after one that failed.
	nextRequest time.Time
}

func newAdvice() *advice {
	return &advice{answeredFor: make(map[string]bool), tickets: make(map[string]ticket)}
}

// add adds the advisor's permission for a worker.
func (a *advice) add(worker string, t ticket) {
	if _, ok := a.tickets[worker]; !ok {
		a.holders = append(a.holders, worker)
		a.unlisted = a.unlisted || !a.answeredFor[worker]
	}

	a.tickets[worker] = t

	if t.validUntil.After(a.validUntil) {
		a.validUntil = t.validUntil
	}
}

// expire marks a worker's ticket as expired. The worker stays allowed.
func (a *advice) expire(worker string) {
	if _, ok := a.tickets[worker]; !ok {
		a.unlisted = true
	}

	a.tickets[worker] = ticket{}
}

// refuses reports whether the advisor is known not to allow the worker with an index; nil refuses none.
func (a *advice) refuses(index int) bool {
	return a != nil && !a.unlisted && a.answered.has(index) && !a.allowed.has(index)
}

// know adds a worker to the sets of those that the advisor has answered for and allows.
func (a *advice) know(w *worker) {
	if a.answeredFor[w.status.ID] {
		a.answered.add(w.index)
	}

	if _, ok := a.tickets[w.status.ID]; ok {
		a.allowed.add(w.index)
	}
}

// candidate is a step with tasks that are ready to be placed.
type candidate struct {
	id    mill.StepID
	job   *jobs.Job
	queue *mill.Queue
	step  *mill.Step
	state *jobs.Step
	// waiting holds the indexes of the tasks that are to be placed.
	waiting []int
	// withheld holds the indexes of the tasks that the limit of the job's tenant does not let start; tenant is nil for a job
	// without one.
	withheld []int
	tenant   *tenantUse
	// cut is how the limit was applied last.
	cut limitCut
	// beingPlaced says that the placement of a task is being committed.
	beingPlaced bool
	urgency     plan.Urgency
	advice      *advice
	// deliveryDelay is the time from a decision until the order reaches the worker.
	deliveryDelay time.Duration
	// tasksPerWorker is how many tasks of the step fit on the smallest worker of its pool.
	tasksPerWorker int
	// adviceWanted names the workers with capacity for the step that the advisor should be asked
	// about.
	adviceWanted []string
	// suspected says that the tasks are suspected of crashing their workers, and isolated that they go to workers that
	// take no other new runs.
	suspected bool
	isolated  bool
	// heldBack says that the step is left out of the plan because it is deferrable and its pool is nearly full.
	heldBack bool
	// now is the time of the plan.
	now time.Time
	// overdue says that the step starts in any room there is, also in what is reserved; see plan.Overdue.
	overdue bool
	// idleSince is since when nothing of the step's job runs while the step could; zero if something did when the plan began.
	idleSince time.Time
	// heldForRack is how many tasks wait for a rack beside room elsewhere, and away says that a gang runs on workers where it
	// takes longer.
	heldForRack int
	away        bool
}

func countWaiting(candidates []*candidate) int {
	count := 0

	for _, c := range candidates {
		if len(c.waiting)+len(c.withheld) > 0 {
			count++
		}
	}

	return count
}

// together returns how many tasks of the step start together.
func (c *candidate) together() int {
	if c.step.Gang {
		return c.step.Count
	}

	return 1
}

// hasFailed reports whether a run of a waiting task has failed.
func (c *candidate) hasFailed() bool {
	for _, index := range c.waiting {
		if len(c.state.Tasks[index].FailedOn) > 0 {
			return true
		}
	}

	return false
}

// failedOn reports whether a waiting task has failed on a worker.
func (c *candidate) failedOn(worker string) bool {
	return slices.ContainsFunc(c.waiting, func(index int) bool {
		return slices.Contains(c.state.Tasks[index].FailedOn, worker)
	})
}

// demand returns the step's requirements for placement.
func (c *candidate) demand() *plan.Demand {
	return &plan.Demand{
		PerTask:         c.step.Reserves(),
		MaxPerWorker:    c.step.MaxPerWorker,
		PreferredRack:   c.step.DataRack,
		SameRack:        c.step.SameRack,
		SpeedPreference: c.urgency.SpeedPreference(),
		PreferIdle:      c.suspected,
	}
}

// describe describes a worker to the placement functions of package plan.
func (c *candidate) describe(w *worker) plan.CandidateWorker {
	stepTasks := 0
	if c.step.MaxPerWorker > 0 {
		stepTasks = w.countTasks(c.id)
	}

	return plan.CandidateWorker{
		View: mill.WorkerView{
			ID:       w.status.ID,
			Rack:     w.status.Rack,
			Capacity: w.status.Capacity,
			Free:     c.room(w),
		},
		StepTasks:   stepTasks,
		OnProbation: w.health.OnProbation() && (!c.overdue || w.tried() && !w.proven(c.now)),
		Tried:       w.tried(),
		Quarantined: !w.health.Schedulable(c.now),
		Busy:        len(w.runs) > 0,
		Contended:   c.step.BestEffort && w.servingRuns > 0 || c.step.TailLatencyTarget > 0 && w.bestEffortMilliCores > 0,
		Slowness:    w.slowness.Factor(),
	}
}

// eligibleWorkers returns the first workers, up to a limit, that have room for a task of the step and that
// pass the filter, together with their descriptions for package plan; a nil filter passes all. The results
// are valid until the next call.
func (s *Scheduler) eligibleWorkers(
	c *candidate, workers iter.Seq[*worker], filter func(w *worker) bool, limit int,
) (described []plan.CandidateWorker, eligible []*worker) {
	described, eligible = s.describedBuffer[:0], s.eligibleBuffer[:0]
	perTask := c.step.Reserves()

	for w := range workers {
		if len(eligible) == limit {
			break
		}

		s.examinedWorkers++

		if w.isolatingRuns == 0 && perTask.Fits(c.room(w)) && c.compatible(w) && (filter == nil || filter(w)) {
			described = append(described, c.describe(w))
			eligible = append(eligible, w)
		}
	}

	s.describedBuffer, s.eligibleBuffer = described, eligible

	return described, eligible
}

// workersNeeded returns how many workers the waiting tasks need at once, if none of them runs anything else.
func (c *candidate) workersNeeded() int {
	perWorker := max(1, c.tasksPerWorker)

	return (len(c.waiting) + perWorker - 1) / perWorker
}

// compatible reports whether the worker could run a task of the step if it were empty.
func (c *candidate) compatible(w *worker) bool {
	return w.status.Service == c.queue.Service && w.status.HasLabel(c.step.Label) &&
		c.step.Reserves().Fits(w.status.Capacity)
}

// allows reports whether the advisor permits a worker to run the step, and whether its ticket will
// still be valid when an order decided at the given time is delivered. Whether the worker is permitted
// does not depend on the time.
func (c *candidate) allows(worker string, now time.Time) (allowed, valid bool) {
	if c.queue.Advice == nil {
		return true, true
	}

	found, ok := c.advice.tickets[worker]
	if !ok {
		return false, false
	}

	return true, found.validUntil.After(now.Add(c.deliveryDelay))
}

// allowsOn is allows for a worker that the scheduler knows, without a look-up by its id if the advisor does not allow it.
func (c *candidate) allowsOn(w *worker, now time.Time) (allowed, valid bool) {
	if c.queue.Advice != nil && !c.advice.unlisted && !c.advice.allowed.has(w.index) {
		return false, false
	}

	return c.allows(w.status.ID, now)
}

// allowsEver reports whether the advisor is known to allow a worker, with a valid ticket or without.
func (c *candidate) allowsEver(w *worker) bool {
	allowed, _ := c.allowsOn(w, c.now)

	return allowed
}

// ticketsValid reports whether any ticket of the step will still be valid when an order decided at the given time is
// delivered.
func (c *candidate) ticketsValid(now time.Time) bool {
	return c.advice.validUntil.After(now.Add(c.deliveryDelay))
}
