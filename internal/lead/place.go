package lead

import (
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// place returns the placements that are to be committed, and claims their room.
func (s *Scheduler) place(candidates []*candidate, p *pass) []jobs.Command {
	commands := make([]jobs.Command, 0, len(candidates))

	for _, c := range candidates {
		pool := p.pool(c)
		if !plan.MayStart(&c.claim, pool.free, pool.capacity) {
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

func (s *Scheduler) placeStep(c *candidate, p *pass) []jobs.Command {
	sites, workers := c.sites(s.ticketed(c, p), nil)
	chosen := plan.PlaceTasks(sites, c.demand(), len(c.waiting), s.placer,
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
