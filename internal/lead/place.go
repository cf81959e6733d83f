package lead

import (
	"slices"
	"strings"
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
	pools map[string]*pool
	// keeps is for how many more steps room may be looked for to ask the advisor about.
	keeps int
}

// pool is the workers of one service that may be given work.
type pool struct {
	// workers are in a fixed order.
	workers []*worker
	// most is the most free room of any worker, and least the least capacity, in each dimension.
	most  mill.Resources
	least mill.Resources
	// free is what all workers together have left, and capacity all that they have.
	free     mill.Resources
	capacity mill.Resources
	// cleared counts the workers that are being cleared for large tasks.
	cleared int
}

// noPool stands for a service without workers.
var noPool = &pool{}

// pool returns the workers for a step.
func (p *pass) pool(c *candidate) *pool {
	if found, ok := p.pools[c.queue.Service]; ok {
		return found
	}

	return noPool
}

// add takes a worker into the pool.
func (p *pool) add(w *worker) {
	free, capacity := w.free(), w.status.Capacity

	p.most.MilliCores = max(p.most.MilliCores, free.MilliCores)
	p.most.MemoryMiB = max(p.most.MemoryMiB, free.MemoryMiB)
	p.most.Accelerators = max(p.most.Accelerators, free.Accelerators)

	if len(p.workers) == 0 {
		p.least = capacity
	}

	p.least.MilliCores = min(p.least.MilliCores, capacity.MilliCores)
	p.least.MemoryMiB = min(p.least.MemoryMiB, capacity.MemoryMiB)
	p.least.Accelerators = min(p.least.Accelerators, capacity.Accelerators)

	p.free = p.free.Add(free)
	p.capacity = p.capacity.Add(capacity)
	p.workers = append(p.workers, w)
}

// take charges the pool with a task.
func (p *pool) take(each mill.Resources) {
	p.free = p.free.Sub(each)
}

// hasRoom reports whether a task of the step could fit on some worker. On a full
// pool it spares the look at each worker for each of hundreds of steps.
func (p *pass) hasRoom(c *candidate) bool {
	return c.step.Reserves().Fits(p.pool(c).most)
}

// keepsBeside is for how many steps room is looked for beside those that can be asked
// about at once: their turn comes while the next plan is made.
const keepsBeside = 8

// place returns the placements that are to be committed, and claims their room.
func (s *Scheduler) place(candidates []*candidate, now time.Time, wall int64, state *jobs.State) []jobs.Command {
	commands := make([]jobs.Command, 0, len(candidates))
	p := &pass{
		now:   now,
		wall:  wall,
		state: state,
		setup: state.Setup(),
		pools: s.pools(now),
		keeps: len(s.freeCallers(now)) + keepsBeside,
	}

	for _, c := range candidates {
		if !plan.MayStart(&c.claim, p.pool(c).free, p.pool(c).capacity) {
			continue
		}

		if !p.hasRoom(c) {
			s.clear(c, p)

			continue
		}

		commands = append(commands, s.placeStep(c, p)...)

		if len(c.waiting) == 0 {
			continue
		}

		if c.advice != nil {
			s.keep(c, p)
		}

		if len(c.wanted) == 0 {
			s.clear(c, p)
		}
	}

	return commands
}

// keep keeps room for a step that could run if the advisor allows it, so that
// steps which come later do not take it meanwhile, and names the workers to ask
// about: those that are known to be allowed, if they suffice, since they need no luck.
// Days on which far more steps wait than can be asked about would take up the process,
// so only those whose turn comes soon are looked at.
func (s *Scheduler) keep(c *candidate, p *pass) {
	if !c.advice.asking {
		if p.keeps == 0 || !c.canAsk(p.now) {
			return
		}

		p.keeps--
	}

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

	for _, w := range s.toAskAbout(c, p) {
		if c.suits(w) && c.step.Reserves().Fits(w.unkept()) && may(c, w, p) {
			sites = append(sites, c.site(w))
			workers = append(workers, w)
		}
	}

	chosen := plan.Spread(sites, c.demand(), len(c.waiting), s.placer, nil)
	if len(chosen) == 0 || (c.step.Gang && len(chosen) < len(c.waiting)) {
		return false
	}

	for _, at := range chosen {
		workers[at].keep(c.step.Reserves())
	}

	c.wanted = names(workers)

	return true
}

// toAskAbout returns the workers that room may be kept on: those that the open question names, or all.
func (s *Scheduler) toAskAbout(c *candidate, p *pass) []*worker {
	if !c.advice.asking {
		return p.pool(c).workers
	}

	return s.usableOf(c.advice.named, p.now)
}

// usableOf returns the workers of some ids that may be given work, in order of their ids.
func (s *Scheduler) usableOf(ids []string, now time.Time) []*worker {
	found := make([]*worker, 0, len(ids))

	for _, id := range ids {
		if w, ok := s.workers[id]; ok && w.usable(now) && !s.drains(w) {
			found = append(found, w)
		}
	}

	slices.SortFunc(found, byID)

	return found
}

func byID(a, b *worker) int {
	return strings.Compare(a.status.ID, b.status.ID)
}

// mayKeepAllowed reports whether the advisor is known to allow the worker.
func (s *Scheduler) mayKeepAllowed(c *candidate, w *worker, p *pass) bool {
	allowed, valid := c.allows(w.status.ID, p.now)

	return allowed && (!valid || c.step.Gang)
}

// mayKeep reports whether the advisor may allow the worker: it has not refused it, and
// is not being asked about others.
func (s *Scheduler) mayKeep(c *candidate, w *worker, p *pass) bool {
	if c.advice.asking {
		return true
	}

	allowed, valid := c.allows(w.status.ID, p.now)

	return allowed && (!valid || c.step.Gang) || !allowed && !c.advice.asked[w.status.ID]
}

// pools returns the workers that may be given work, by service, with nothing kept on them.
func (s *Scheduler) pools(now time.Time) map[string]*pool {
	usable := make([]*worker, 0, len(s.workers))

	for _, w := range s.workers {
		if w.usable(now) && !s.drains(w) {
			usable = append(usable, w)
		}
	}

	slices.SortFunc(usable, byID)

	pools := make(map[string]*pool)

	for _, w := range usable {
		w.kept = mill.Resources{}

		if pools[w.status.Service] == nil {
			pools[w.status.Service] = &pool{}
		}

		pools[w.status.Service].add(w)
	}

	return pools
}

func (s *Scheduler) placeStep(c *candidate, p *pass) []jobs.Command {
	sites, workers := s.sites(c, p)
	chosen := plan.Spread(sites, c.demand(), len(c.waiting), s.placer,
		s.avoid(c, p.pool(c).workers, p.now))
	if c.step.Gang && len(chosen) < len(c.waiting) {
		return nil
	}

	placed := c.waiting[:len(chosen)]
	c.waiting = c.waiting[len(chosen):]
	number := s.nextRun(c)
	commands := make([]jobs.Command, 0, len(chosen))

	for index, at := range chosen {
		r := s.newRun(c, placed[index], workers[at], number)
		p.pool(c).take(c.step.Reserves())

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

	for _, w := range s.ticketed(c, p) {
		if c.suits(w) && c.step.Reserves().Fits(w.unkept()) {
			sites = append(sites, c.site(w))
			workers = append(workers, w)
		}
	}

	return sites, workers
}

// ticketed returns the workers that the step needs no more advice for.
func (s *Scheduler) ticketed(c *candidate, p *pass) []*worker {
	if c.advice == nil {
		return p.pool(c).workers
	}

	ids := make([]string, 0, len(c.advice.tickets))

	for id := range c.advice.tickets {
		if _, valid := c.allows(id, p.now); valid {
			ids = append(ids, id)
		}
	}

	return s.usableOf(ids, p.now)
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
