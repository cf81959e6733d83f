package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// ticket allows a worker to run a step until a time.
type ticket struct {
	text  string
	until time.Time
}

// advice is what the advisor has said about one step.
type advice struct {
	asked map[string]bool
	// named holds the workers that the open question is about.
	named   []string
	tickets map[string]ticket
	asking  bool
	// next is when another question may be asked after one that failed.
	next time.Time
}

func newAdvice() *advice {
	return &advice{asked: make(map[string]bool), tickets: make(map[string]ticket)}
}

// candidate is a step with tasks that could start.
type candidate struct {
	id      mill.StepID
	job     *jobs.Job
	queue   *mill.Queue
	step    *mill.Step
	state   *jobs.Step
	waiting []int
	claim   plan.Urgency
	advice  *advice
	// arrives is how long it takes until an order that is decided now reaches a worker.
	arrives time.Duration
	// wanted names the workers with room for the step that the advisor should be asked about.
	wanted []string
}

func countWaiting(candidates []*candidate) int {
	count := 0

	for _, c := range candidates {
		if len(c.waiting) > 0 {
			count++
		}
	}

	return count
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

// demand returns what the step wants placed.
func (c *candidate) demand() *plan.Demand {
	return &plan.Demand{
		PerTask:         c.step.Reserves(),
		MaxPerWorker:    c.step.MaxPerWorker,
		PreferredRack:   c.step.DataRack,
		SameRack:        c.step.SameRack,
		SpeedPreference: c.claim.SpeedPreference(),
	}
}

// site returns a worker as a place for the step's tasks.
func (c *candidate) site(w *worker) plan.CandidateWorker {
	mine := 0
	if c.step.MaxPerWorker > 0 {
		mine = w.tasksOf(c.id)
	}

	return plan.CandidateWorker{
		View: mill.WorkerView{
			ID:       w.status.ID,
			Rack:     w.status.Rack,
			Capacity: w.status.Capacity,
			Free:     w.unkept(),
		},
		StepTasks:   mine,
		OnProbation: w.record.OnProbation(),
		Busy:        len(w.runs) > 0,
		Contended:   c.step.BestEffort && w.serving > 0 || c.step.TailLatencyTarget > 0 && w.fillers > 0,
		Slowness:    w.slowness.Factor(),
	}
}

// sites returns those of some workers that have room for a task of the step and that a
// choice allows; nil allows all.
func (c *candidate) sites(workers []*worker, may func(w *worker) bool) (sites []plan.CandidateWorker, chosen []*worker) {
	for _, w := range workers {
		if c.suits(w) && c.step.Reserves().Fits(w.unkept()) && (may == nil || may(w)) {
			sites = append(sites, c.site(w))
			chosen = append(chosen, w)
		}
	}

	return sites, chosen
}

// suits reports whether the worker could run a task of the step if it were empty.
func (c *candidate) suits(w *worker) bool {
	return w.status.Service == c.queue.Service && w.status.HasLabel(c.step.Label) &&
		c.step.Reserves().Fits(w.status.Capacity)
}

// allows reports whether the advisor lets a worker run the step, and whether the
// ticket holds until an order that is decided now arrives.
func (c *candidate) allows(worker string, now time.Time) (allowed, valid bool) {
	if c.queue.Advice == nil {
		return true, true
	}

	found, ok := c.advice.tickets[worker]
	if !ok {
		return false, false
	}

	return true, found.until.After(now.Add(c.arrives))
}
