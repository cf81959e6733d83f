package lead

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// place goes through all steps in order of precedence, and then starts those that are overdue in any room that is left. It
// allocates workers to their tasks, and returns the placements to commit.
func (s *Scheduler) place(candidates []*candidate, p *pass) []jobs.Command {
	commands := make([]jobs.Command, 0, len(candidates))

	for _, c := range candidates {
		c.tasksPerWorker = c.step.Reserves().TimesIn(p.pool(c).minCapacity)
		commands = append(commands, s.placeInOrder(c, p)...)
	}

	return append(commands, s.startOverdue(candidates, p)...)
}

// placeInOrder places the tasks of a step whose turn has come. For tasks that cannot be placed yet it may reserve capacity,
// so that steps with lower precedence don't use it.
func (s *Scheduler) placeInOrder(c *candidate, p *pass) []jobs.Command {
	if c.cutToLimit(); c.atLimit() {
		return nil
	}

	pool := p.pool(c)

	if c.heldBack = !plan.MayStart(&c.urgency, pool.free, pool.capacity); c.heldBack {
		return nil
	}

	if !p.mayFit(c) {
		s.reserveWorkers(c, p)

		return nil
	}

	commands := s.placeTasks(c, len(c.waiting), p)
	if len(c.waiting) == c.heldForRack {
		return commands
	}

	if c.advice != nil {
		s.reserveForAdvice(c, p)
	}

	if len(c.adviceWanted) == 0 {
		s.reserveWorkers(c, p)
	}

	return commands
}

// placeTasks places as many of a step's first waiting tasks as fit, up to a count, or a gang's only all together.
func (s *Scheduler) placeTasks(c *candidate, count int, p *pass) []jobs.Command {
	chosen, workers := s.chooseIsolated(c, count, p)
	if c.step.Gang && len(chosen) < count {
		return nil
	}

	placed := c.waiting[:len(chosen)]
	c.waiting = c.waiting[len(chosen):]
	number := s.nextGangRun(c)
	commands := make([]jobs.Command, 0, len(chosen))

	if len(chosen) > 0 {
		p.startedJobs[c.id.Job] = true
	}

	if c.isolated && len(chosen) > 0 {
		p.pool(c).isolatingWorkers++
	}

	for index, at := range chosen {
		r := s.newRun(c, placed[index], workers[at], number, p.now)
		p.pool(c).allocate(c.step.Reserves())

		commands = append(commands, jobs.Command{Place: &jobs.Place{
			Task:   r.task,
			Run:    r.number,
			Worker: r.worker.status.ID,
		}})
	}

	return commands
}

// chooseWorkers returns the index of the worker for each of a step's first waiting tasks, as far as they fit, and the
// workers.
func (s *Scheduler) chooseWorkers(
	c *candidate, count int, p *pass, filter func(w *worker) bool,
) (chosen []int, workers []*worker) {
	anywhere := c.advice == nil && filter == nil && !c.overdue
	if anywhere && p.withoutPlace[c.roomDemand()] || c.advice != nil && !s.fitsOn(c, p, c.advice.allowed.word) {
		return nil, nil
	}

	holders := s.ticketHolders(c, p)
	described, workers := s.eligibleWorkers(c, holders, filter, math.MaxInt)

	if anywhere && len(workers) == 0 {
		p.withoutPlace[c.roomDemand()] = true
	}

	chosen = plan.PlaceTasks(described, c.demand(), count, s.placer, s.avoidFailedWorkers(c, p.pool(c).workers, p.now))

	if c.overdue && c.hasFailed() && len(chosen) < c.together() {
		described, workers = s.eligibleWorkers(c, holders, filter, math.MaxInt)
		chosen = plan.PlaceTasks(described, c.demand(), count, s.placer, nil)
	}

	return chosen, workers
}

// maxAvoidTime is how long a task waits for a worker on which it has not failed. Attempts are
// limited, so another worker is worth waiting for, but the time that a task may wait beside free
// capacity is limited too.
const maxAvoidTime = 1200 * time.Millisecond

// avoidFailedWorkers returns a function that reports whether a waiting task should not go to a worker
// because it failed there. It no longer applies when the task has failed on every worker that may
// run it, or has waited longer than maxAvoidTime.
func (s *Scheduler) avoidFailedWorkers(c *candidate, pool []*worker, now time.Time) func(index int, worker string) bool {
	if !c.hasFailed() {
		return nil
	}

	allowed := make([]*worker, 0, len(pool))

	for _, w := range pool {
		if ok, _ := c.allows(w.status.ID, s.termStart); ok && c.compatible(w) {
			allowed = append(allowed, w)
		}
	}

	if c.step.Gang {
		if failed := c.failedWorkers(); c.fitsWithout(failed, allowed) {
			return s.avoidForGang(c, failed, now)
		}
	}

	return func(index int, id string) bool {
		failedOn := c.state.Tasks[c.waiting[index]].FailedOn
		if !slices.Contains(failedOn, id) || now.Sub(s.waitingSince(c.id.Task(c.waiting[index]), now)) > maxAvoidTime {
			return false
		}

		return slices.ContainsFunc(allowed, func(w *worker) bool { return !slices.Contains(failedOn, w.status.ID) })
	}
}

// avoidForGang returns a function that reports whether no member of a gang should go to a worker because one has failed
// there: they fail together.
func (s *Scheduler) avoidForGang(
	c *candidate, failed map[string]bool, now time.Time,
) func(index int, worker string) bool {
	if now.Sub(s.waitingSince(c.id.Task(c.waiting[0]), now)) > maxAvoidTime {
		return nil
	}

	return func(_ int, worker string) bool { return failed[worker] }
}

// failedWorkers returns the workers on which a waiting task has failed.
func (c *candidate) failedWorkers() map[string]bool {
	failed := make(map[string]bool)

	for _, index := range c.waiting {
		for _, worker := range c.state.Tasks[index].FailedOn {
			failed[worker] = true
		}
	}

	return failed
}

// fitsWithout reports whether a gang could be placed on other workers than those that have failed it if they were empty, on
// one rack if it should be and there is such a rack.
func (c *candidate) fitsWithout(failed map[string]bool, workers []*worker) bool {
	others := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return failed[w.status.ID] })

	return c.fitsIfEmpty(others, c.step.SameRack && c.fitsIfEmpty(workers, true))
}

// fitsIfEmpty reports whether a gang could be placed on some workers, or on those of one rack, if they were empty.
func (c *candidate) fitsIfEmpty(workers []*worker, oneRack bool) bool {
	places := make(map[string]int)

	for _, w := range workers {
		rack := ""
		if oneRack {
			rack = w.status.Rack
		}

		if places[rack] += c.places(w, w.status.Capacity); places[rack] >= c.together() {
			return true
		}
	}

	return false
}

// waitingSince returns since when a task that has failed waits for a worker on which it has not
// failed. The wait begins with the first call.
func (s *Scheduler) waitingSince(task mill.TaskID, now time.Time) time.Time {
	since, ok := s.waitingSinceFailure[task]
	if !ok {
		since = now
		s.waitingSinceFailure[task] = now
	}

	return since
}

// ticketHolders returns the workers that the step can be placed on without further advice: those
// with a valid ticket, or all of the pool if the queue needs no advice.
func (s *Scheduler) ticketHolders(c *candidate, p *pass) iter.Seq[*worker] {
	if c.advice == nil {
		return s.usableWorkers(c, p.pool(c))
	}

	if !c.ticketsValid(p.now) {
		return slices.Values[[]*worker](nil)
	}

	ids := make([]string, 0, len(c.advice.holders))

	for _, id := range c.advice.holders {
		if _, valid := c.allows(id, p.now); valid {
			ids = append(ids, id)
		}
	}

	return slices.Values(s.acceptingWorkers(c, ids, p.now))
}

func (w *worker) countTasks(step mill.StepID) int {
	count := 0

	for task := range w.runs {
		if task.StepID == step {
			count++
		}
	}

	return count
}

// nextGangRun returns the number that all members of a gang use for their next run, or 0 for a step
// whose tasks are numbered independently.
func (s *Scheduler) nextGangRun(c *candidate) int {
	if !c.step.Gang {
		return 0
	}

	number := 0
	for i := range c.state.Tasks {
		number = max(number, c.state.Tasks[i].Run)
	}

	return number + 1
}

// newRun adds the run for the placement of a task; the number 0 selects the task's next one.
func (s *Scheduler) newRun(c *candidate, index int, w *worker, number int, now time.Time) *run {
	task := &c.state.Tasks[index]
	if number == 0 {
		number = task.Run + 1
	}

	r := &run{
		task:       c.id.Task(index),
		number:     number,
		worker:     w,
		queue:      c.queue.Name,
		tenant:     c.job.Tenant,
		step:       c.step,
		reserves:   c.step.Reserves(),
		phase:      runProposed,
		spec:       c.job.Work.Spec,
		placedAt:   now,
		checkpoint: task.Checkpoint,
		resumeFrom: task.Checkpoint,

		failedBefore: task.HasFailed(),
		isolating:    c.isolated,

		earlierSuspicion: task.Suspicion,
		away:             c.awayOn(w),
	}

	if c.step.Gang {
		r.resumeFrom = gangCheckpoint(c.state)
		r.checkpoint = r.resumeFrom
		s.joinGang(r, c.job, c.state)
	} else {
		r.attempt = jobs.NewTaskRun(c.job, r.task, task)
	}

	if c.advice != nil {
		r.ticket = c.advice.tickets[w.status.ID].text
	}

	delete(s.waitingSinceFailure, r.task)
	s.addRun(r)

	return r
}

// gangCheckpoint returns the checkpoint that all members resume from: that of the first member that
// has one, since any member's checkpoint is valid for the whole gang.
func gangCheckpoint(step *jobs.Step) string {
	for i := range step.Tasks {
		if step.Tasks[i].Checkpoint != "" {
			return step.Tasks[i].Checkpoint
		}
	}

	return ""
}
