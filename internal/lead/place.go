package lead

import (
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// candidates returns the steps that have tasks which could start, best first.
func (s *Scheduler) candidates(wall int64, state *jobs.State) []*candidate {
	var found []*candidate

	for _, job := range state.Open() {
		if job.Over() {
			continue
		}

		found = s.candidatesOf(found, job, wall, state.Setup())
	}

	for id := range s.advice {
		if job, ok := state.Job(id.Job); !ok || job.Over() {
			delete(s.advice, id)
		}
	}

	for id := range s.retrying {
		if job, ok := state.Job(id.Job); !ok || job.Over() {
			delete(s.retrying, id)
		}
	}

	plan.Sort(found, func(c *candidate) *plan.Claim { return &c.claim })

	return found
}

func (s *Scheduler) candidatesOf(found []*candidate, job *jobs.Job, wall int64, setup *mill.Setup) []*candidate {
	for number, occurrence := range job.Due(wall) {
		for index := range occurrence.Steps {
			step := &occurrence.Steps[index]
			if step.Done+step.Placed == len(step.Tasks) || !occurrence.Ready(&job.Work, index) {
				continue
			}

			c := s.candidate(job, setup, mill.StepID{Job: job.ID, Occurrence: number, Step: index})
			c.state = step

			if c.waiting = s.waiting(c); len(c.waiting) > 0 {
				c.claim = s.claim(c, occurrence, wall)
				c.advice = s.adviceFor(c)
				found = append(found, c)
			}
		}
	}

	return found
}

// candidate returns a step by the setup in force.
func (s *Scheduler) candidate(job *jobs.Job, setup *mill.Setup, id mill.StepID) *candidate {
	queue := &job.Queue

	if setup != nil {
		if current, ok := setup.Queue(queue.Name); ok {
			queue = current
		}
	}

	return &candidate{
		id:      id,
		job:     job,
		queue:   queue,
		step:    &job.Work.Steps[id.Step],
		arrives: commitTime + s.bounds.DeliverTime,
	}
}

// waiting returns the tasks of a step that have no run. A gang waits as a whole.
func (s *Scheduler) waiting(c *candidate) []int {
	var waiting []int

	for index := range c.state.Tasks {
		if c.state.Tasks[index].Phase != jobs.TaskWaiting {
			continue
		}

		if _, claimed := s.runs[c.id.Task(index)]; !claimed {
			waiting = append(waiting, index)
		}
	}

	if c.step.Gang && len(waiting) < len(c.state.Tasks) {
		return nil
	}

	return waiting
}

func (s *Scheduler) claim(c *candidate, occurrence *jobs.Occurrence, wall int64) plan.Claim {
	takes := func(step int) time.Duration {
		return s.estimates.Correct(c.queue.Name, c.job.Work.Steps[step].Estimate)
	}
	whole := plan.Chain(&c.job.Work, nil, takes)
	left := plan.Chain(&c.job.Work, func(step int) bool { return occurrence.Steps[step].Complete() }, takes)

	received := c.job.UnixMilli
	if c.job.Work.Repeat.Times > 0 {
		received = c.job.Work.Repeat.DueUnixMilli(c.id.Occurrence)
	}

	objective := time.Duration(c.queue.Stretch*float64(whole)) + c.queue.Objective
	if c.queue.Advice != nil {
		objective += time.Duration(len(c.job.Work.Steps)) * c.queue.Advice.Cost(maxAsked)
	}

	return plan.Claim{
		Priority:  c.queue.Priority,
		Age:       max(0, time.Duration(wall-received)*time.Millisecond),
		Objective: objective,
		Remaining: left,
		Lasting:   c.step.Lasting,
		Sequence:  c.job.Sequence,
	}
}

func (s *Scheduler) adviceFor(c *candidate) *advice {
	if c.queue.Advice == nil {
		return nil
	}

	a, ok := s.advice[c.id]
	if !ok {
		a = newAdvice()
		s.advice[c.id] = a
	}

	return a
}

// pass is one look at all candidates, best first.
type pass struct {
	now   time.Time
	wall  int64
	state *jobs.State
	setup *mill.Setup
	pools map[string][]*worker
	// kept is the room that is kept for steps which come first and wait for the advisor.
	kept map[*worker]mill.Resources
	// most is the most free room of any worker, by service and dimension, at the pass's begin.
	most map[string]mill.Resources
	// cleared counts the workers that are being cleared for large tasks, by service.
	cleared map[string]int
}

// hasRoom reports whether a task of the step could fit on some worker. On a full
// pool it spares the look at each worker for each of hundreds of steps.
func (p *pass) hasRoom(c *candidate) bool {
	most, ok := p.most[c.queue.Service]
	if !ok {
		for _, w := range p.pools[c.queue.Service] {
			free := w.free()
			most.MilliCores = max(most.MilliCores, free.MilliCores)
			most.MemoryMiB = max(most.MemoryMiB, free.MemoryMiB)
			most.Accelerators = max(most.Accelerators, free.Accelerators)
		}

		p.most[c.queue.Service] = most
	}

	return c.step.Reserves().Fits(most)
}

func (p *pass) free(w *worker) mill.Resources {
	return w.free().Sub(p.kept[w])
}

// place returns the placements that are to be committed, and claims their room.
func (s *Scheduler) place(candidates []*candidate, now time.Time, wall int64, state *jobs.State) []jobs.Command {
	commands := make([]jobs.Command, 0, len(candidates))
	p := &pass{
		now:     now,
		wall:    wall,
		state:   state,
		setup:   state.Setup(),
		pools:   s.pools(now),
		kept:    make(map[*worker]mill.Resources),
		most:    make(map[string]mill.Resources),
		cleared: make(map[string]int),
	}

	for _, c := range candidates {
		if !p.hasRoom(c) {
			s.clear(c, p)

			continue
		}

		commands = append(commands, s.placeStep(c, p)...)

		if c.advice != nil && len(c.waiting) > 0 {
			s.keep(c, p)
		}

		if len(c.waiting) > 0 && len(c.wanted) == 0 {
			s.clear(c, p)
		}
	}

	return commands
}

// keep keeps room for a step that could run if the advisor allows it, so that
// steps which come later do not take it meanwhile, and names the workers to ask
// about: those that are known to be allowed, if they suffice, since they need no luck.
func (s *Scheduler) keep(c *candidate, p *pass) {
	if s.keepOn(c, p, s.mayKeepAllowed) {
		return
	}

	s.keepOn(c, p, s.mayKeep)
}

// keepOn keeps room on workers of a choice, and reports whether the step fits on them.
func (s *Scheduler) keepOn(c *candidate, p *pass, may func(c *candidate, w *worker, p *pass) bool) bool {
	var (
		sites   []plan.Site
		workers []*worker
	)

	for _, w := range p.pools[c.queue.Service] {
		if c.suits(w) && c.step.Reserves().Fits(p.free(w)) && may(c, w, p) {
			sites = append(sites, c.site(w, p.free(w)))
			workers = append(workers, w)
		}
	}

	chosen := plan.Spread(sites, c.demand(), len(c.waiting), s.placer, nil)
	if len(chosen) == 0 || (c.step.Gang && len(chosen) < len(c.waiting)) {
		return false
	}

	for _, at := range chosen {
		p.kept[workers[at]] = p.kept[workers[at]].Add(c.step.Reserves())
	}

	c.wanted = names(workers)

	return true
}

// mayKeepAllowed reports whether the advisor is known to allow the worker.
func (s *Scheduler) mayKeepAllowed(c *candidate, w *worker, p *pass) bool {
	allowed, valid := c.allows(w.status.ID, p.now)

	return allowed && (!valid || c.step.Gang) && (!c.advice.asking || slices.Contains(c.advice.named, w.status.ID))
}

// mayKeep reports whether the advisor may allow the worker: it has not refused it, and
// is not being asked about others.
func (s *Scheduler) mayKeep(c *candidate, w *worker, p *pass) bool {
	if c.advice.asking {
		return slices.Contains(c.advice.named, w.status.ID)
	}

	allowed, valid := c.allows(w.status.ID, p.now)

	return allowed && (!valid || c.step.Gang) || !allowed && !c.advice.asked[w.status.ID]
}

// pools returns the workers that may be given work, by service, in a fixed order.
func (s *Scheduler) pools(now time.Time) map[string][]*worker {
	pools := make(map[string][]*worker)

	for _, w := range s.workers {
		if w.usable(now) {
			pools[w.status.Service] = append(pools[w.status.Service], w)
		}
	}

	for _, pool := range pools {
		slices.SortFunc(pool, func(a, b *worker) int {
			if a.status.ID < b.status.ID {
				return -1
			}

			return 1
		})
	}

	return pools
}

func (s *Scheduler) placeStep(c *candidate, p *pass) []jobs.Command {
	sites, workers := s.sites(c, p)
	chosen := plan.Spread(sites, c.demand(), len(c.waiting), s.placer,
		s.avoid(c, p.pools[c.queue.Service], p.now))
	if c.step.Gang && len(chosen) < len(c.waiting) {
		return nil
	}

	placed := c.waiting[:len(chosen)]
	c.waiting = c.waiting[len(chosen):]
	number := s.nextRun(c)
	commands := make([]jobs.Command, 0, len(chosen))

	for index, at := range chosen {
		r := s.newRun(c, placed[index], workers[at], number)
		commands = append(commands, jobs.Command{Place: &jobs.Place{
			Task:   r.task,
			Run:    r.number,
			Worker: r.worker.status.ID,
		}})
	}

	return commands
}

// elsewhereTime is how long a task waits for a worker on which it has not failed:
// attempts are few, but the rules bound how long a task may wait beside free room.
const elsewhereTime = 1200 * time.Millisecond

// avoid keeps a task away from workers on which it has failed, unless it has failed
// on every worker that may run it or has waited for another one in vain.
func (s *Scheduler) avoid(c *candidate, pool []*worker, now time.Time) func(index int, worker string) bool {
	if !c.hasFailed() {
		return nil
	}

	allowed := make([]string, 0, len(pool))

	for _, w := range pool {
		if ok, _ := c.allows(w.status.ID, s.began); ok && c.suits(w) {
			allowed = append(allowed, w.status.ID)
		}
	}

	return func(index int, worker string) bool {
		failedOn := c.state.Tasks[c.waiting[index]].FailedOn
		if !slices.Contains(failedOn, worker) || now.Sub(s.retryingSince(c.id.Task(c.waiting[index]), now)) > elsewhereTime {
			return false
		}

		return slices.ContainsFunc(allowed, func(id string) bool { return !slices.Contains(failedOn, id) })
	}
}

// retryingSince returns since when a task that has failed waits.
func (s *Scheduler) retryingSince(task mill.TaskID, now time.Time) time.Time {
	since, ok := s.retrying[task]
	if !ok {
		since = now
		s.retrying[task] = now
	}

	return since
}

// sites returns the workers on which the step may run now.
func (s *Scheduler) sites(c *candidate, p *pass) ([]plan.Site, []*worker) {
	var (
		sites   []plan.Site
		workers []*worker
	)

	for _, w := range p.pools[c.queue.Service] {
		if !w.status.HasLabel(c.step.Label) || !c.step.Reserves().Fits(p.free(w)) {
			continue
		}

		if _, valid := c.allows(w.status.ID, p.now); !valid {
			continue
		}

		sites = append(sites, c.site(w, p.free(w)))
		workers = append(workers, w)
	}

	return sites, workers
}

func (w *worker) tasksOf(step mill.StepID) int {
	count := 0

	for task := range w.runs {
		if task.StepID == step {
			count++
		}
	}

	return count
}

// nextRun returns the number of a gang's next run, or 0 where each task counts by itself.
func (s *Scheduler) nextRun(c *candidate) int {
	if !c.step.Gang {
		return 0
	}

	number := 0
	for i := range c.state.Tasks {
		number = max(number, c.state.Tasks[i].Run)
	}

	return number + 1
}

func (s *Scheduler) newRun(c *candidate, index int, w *worker, number int) *run {
	task := &c.state.Tasks[index]
	if number == 0 {
		number = task.Run + 1
	}

	r := &run{
		task:       c.id.Task(index),
		number:     number,
		worker:     w,
		queue:      c.queue.Name,
		step:       c.step,
		reserves:   c.step.Reserves(),
		phase:      runProposed,
		spec:       c.job.Work.Spec,
		checkpoint: task.Checkpoint,
		resume:     task.Checkpoint,

		failedBefore: task.Failures > 0,
	}

	if c.step.Gang {
		r.resume = gangCheckpoint(c.state)
		r.checkpoint = r.resume
	}

	if c.advice != nil {
		r.ticket = c.advice.tickets[w.status.ID].text
	}

	s.runs[r.task] = r
	delete(s.retrying, r.task)
	w.add(r)

	return r
}

// gangCheckpoint returns the one checkpoint that all members resume from: that of the
// first member that has one, since any member's is valid for the gang.
func gangCheckpoint(step *jobs.Step) string {
	for i := range step.Tasks {
		if step.Tasks[i].Checkpoint != "" {
			return step.Tasks[i].Checkpoint
		}
	}

	return ""
}
