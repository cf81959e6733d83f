package lead

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/oracle"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// attemptCheck checks starts and outcomes against the failed attempts, which it takes from how executors have ended runs.
type attemptCheck struct {
	sim *simulation
	// ended counts all failed attempts, and noted holds the runs of a step that count for sure: their ends as failed were
	// read and committed, or acknowledged to the executor before its lease expired.
	ended oracle.Attempts
	noted map[mill.StepID][]mill.RunRef
	ends  map[mill.RunRef]*failedEnd
	// started is the latest run of a step's tasks that has started.
	started map[mill.StepID]map[mill.TaskID]int
	// failedJobs holds the jobs whose failure is checked.
	failedJobs map[string]bool
}

// failedEnd is the end of a run as failed.
type failedEnd struct {
	at    time.Time
	noted bool
	// readIn holds the terms of the leaders to which the executor has listed the end.
	readIn map[uint64]bool
}

func newAttemptCheck(sim *simulation) attemptCheck {
	return attemptCheck{
		sim:        sim,
		noted:      make(map[mill.StepID][]mill.RunRef),
		ends:       make(map[mill.RunRef]*failedEnd),
		started:    make(map[mill.StepID]map[mill.TaskID]int),
		failedJobs: make(map[string]bool),
	}
}

func (c *attemptCheck) step(id mill.StepID) *mill.Step {
	return &c.sim.specs[id.Job].work.Steps[id.Step]
}

// recordFailed records that an executor has ended a run as failed.
func (c *attemptCheck) recordFailed(run mill.RunRef) {
	c.ended.RecordFailed(run, c.step(run.Task.StepID).Gang)

	if c.ends[run] == nil {
		c.ends[run] = &failedEnd{at: c.sim.now, readIn: make(map[uint64]bool)}
	}
}

// recordRead records that a leader has read an executor's list of ends.
func (c *attemptCheck) recordRead(l *leader, finished []mill.FinishedRun) {
	for i := range finished {
		if end := c.ends[finished[i].RunRef]; end != nil {
			end.readIn[l.term] = true
		}
	}
}

// readBy returns the runs that the commands finish and whose ends as failed a leader has read.
func (c *attemptCheck) readBy(l *leader, commands []jobs.Command) map[mill.RunRef]bool {
	read := make(map[mill.RunRef]bool)

	for i := range commands {
		if commands[i].Finish == nil {
			continue
		}

		run := mill.RunRef{Task: commands[i].Finish.Task, Run: commands[i].Finish.Run}
		if end := c.ends[run]; end != nil && end.readIn[l.term] {
			read[run] = true
		}
	}

	return read
}

// recordCommitted records that the end of a run is committed, by a leader that has read the end as failed if there is one.
func (c *attemptCheck) recordCommitted(run mill.RunRef, read bool) {
	if read {
		c.note(run)
	}

	c.checkFailed(run.Task.Job)
}

// recordAcknowledged records that the end of a run is acknowledged to its executor. An end counts only if the executor's
// lease has not expired since.
func (c *attemptCheck) recordAcknowledged(e *executor, run mill.RunRef) {
	if end := c.ends[run]; end != nil && e.leaseExpiredAt.Before(end.at) {
		c.note(run)
	}
}

func (c *attemptCheck) note(run mill.RunRef) {
	end := c.ends[run]
	if end.noted {
		return
	}

	end.noted = true
	id := run.Task.StepID
	c.noted[id] = append(c.noted[id], run)

	for task, number := range c.started[id] {
		c.checkBudget(mill.RunRef{Task: task, Run: number}, number)
	}

	job, _ := c.sim.state.Job(id.Job)
	if attempts := c.notedBefore(run.Task, math.MaxInt); c.usedUp(id, attempts) && !job.Finished() {
		c.sim.t.Fatalf("%s: job %s is not failed after %d failed attempts at %s", c.sim.elapsed(), id.Job, attempts, run.Task)
	}
}

// notedBefore returns the number of failed attempts at a task, or at its gang, that count for sure, of runs below a limit.
func (c *attemptCheck) notedBefore(task mill.TaskID, limit int) int {
	var attempts oracle.Attempts

	gang := c.step(task.StepID).Gang

	for _, noted := range c.noted[task.StepID] {
		if noted.Run < limit {
			attempts.RecordFailed(noted, gang)
		}
	}

	return attempts.Failed(task, gang)
}

// usedUp reports whether so many failed attempts are all that a step's tasks have.
func (c *attemptCheck) usedUp(id mill.StepID, attempts int) bool {
	return !c.step(id).LongRunning && attempts >= c.sim.queue(id.Job).MaxAttempts
}

// checkStart checks that a run starts with attempts left, also by the ends that are noted only later.
func (c *attemptCheck) checkStart(run mill.RunRef) {
	id := run.Task.StepID
	if c.started[id] == nil {
		c.started[id] = make(map[mill.TaskID]int)
	}

	c.started[id][run.Task] = max(c.started[id][run.Task], run.Run)
	c.checkBudget(run, math.MaxInt)
}

// checkBudget checks that a run has attempts left after those that count for sure, of runs below a limit.
func (c *attemptCheck) checkBudget(run mill.RunRef, limit int) {
	if attempts := c.notedBefore(run.Task, limit); c.usedUp(run.Task.StepID, attempts) {
		c.sim.t.Fatalf("%s: task %s run %d starts after %d failed attempts", c.sim.elapsed(), run.Task, run.Run, attempts)
	}
}

// checkFailed checks that a job that has just failed has a task or a gang that has used up its attempts, or a task under
// which two executors have crashed.
func (c *attemptCheck) checkFailed(id string) {
	job, _ := c.sim.state.Job(id)
	if job.Outcome != mill.JobFailed || c.failedJobs[id] {
		return
	}

	c.failedJobs[id] = true
	most := 0

	for task := range c.sim.tasks(id) {
		attempts := c.ended.Failed(task, c.step(task.StepID).Gang)
		if c.sim.losses[task] > 1 || c.usedUp(task.StepID, attempts) {
			return
		}

		most = max(most, attempts)
	}

	c.sim.t.Fatalf("%s: job %s has failed without cause (%s): at most %d failed attempts at one task or gang, of %d",
		c.sim.elapsed(), id, c.reason(id), most, c.sim.queue(id).MaxAttempts)
}

// reason returns the reason that the state gives for a job's latest outcome.
func (c *attemptCheck) reason(id string) jobs.OutcomeReason {
	for _, outcome := range slices.Backward(c.sim.state.TakeOutcomes()) {
		if outcome.Job == id {
			return outcome.Reason
		}
	}

	return ""
}

// failedTasks returns the number of tasks that have ended as failed.
func (c *attemptCheck) failedTasks() int {
	tasks := make(map[mill.TaskID]bool)
	for run := range c.ends {
		tasks[run.Task] = true
	}

	return len(tasks)
}

// tasks yields the tasks of all steps and occurrences of a job.
func (sim *simulation) tasks(job string) iter.Seq[mill.TaskID] {
	work := &sim.specs[job].work

	return func(yield func(mill.TaskID) bool) {
		for occurrence := range work.Occurrences() {
			for index := range work.Steps {
				id := mill.StepID{Job: job, Occurrence: occurrence, Step: index}
				for at := range work.Steps[index].Count {
					if !yield(id.Task(at)) {
						return
					}
				}
			}
		}
	}
}
