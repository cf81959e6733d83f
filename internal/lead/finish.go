package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// finishedRun is a finished run that is to be committed.
type finishedRun struct {
	run   *run
	cause mill.FinishCause
	// recorded says that the run was proposed as finished before, and is recorded as evidence and for the log.
	recorded bool
}

// command returns what records the finished run.
func (f *finishedRun) command() *jobs.Finish {
	finished := &jobs.Finish{
		Task:       f.run.task,
		Run:        f.run.number,
		Cause:      f.cause,
		Checkpoint: f.run.checkpoint,
		Suspicion:  f.run.suspicion,
		Cleared:    f.run.earlierSuspicion > 0 && f.run.proven,
		GivesUp:    f.run.givesUp(),
	}

	if f.run.gang != nil {
		f.run.gang.attempt.Amend(finished)
	} else {
		f.run.attempt.Amend(finished)
	}

	return finished
}

// finishRun queues a finished run to be committed and releases its resources. Unless the run
// completed its task, the other members of its gang are stopped.
func (s *Scheduler) finishRun(r *run, cause mill.FinishCause) {
	if r.cause != "" {
		return
	}

	cause = s.concludeCrash(r, cause)
	r.cause = cause
	r.worker.remove(r)
	r.worker.uncommittedFinishes++
	s.finished = append(s.finished, finishedRun{run: r, cause: cause})

	if r.gang != nil {
		r.gang.ended = r.gang.ended || endsGang(cause)
	}

	if r.step.Gang && cause != mill.FinishDone {
		s.stopGang(r)
	}
}

// endsGang reports whether a member that has ended with a cause ends the run of its gang, where no worker has crashed.
func endsGang(cause mill.FinishCause) bool {
	return cause == mill.FinishDone || cause == mill.FinishFailed
}

// finishCommands empties the queue of finished runs and returns the commands that record them.
func (s *Scheduler) finishCommands(now time.Time) []jobs.Command {
	commands := make([]jobs.Command, 0, len(s.finished))

	for _, f := range s.finished {
		if !f.recorded {
			s.updateHealth(f, now)
			s.addEvent(EventFinish, f.run, string(f.cause))
		}

		commands = append(commands, jobs.Command{Finish: f.command()})
	}

	s.finished = nil

	return commands
}

// recordRunTime updates the run time estimates and the worker's slowness, or that of a gang's workers, with a run that was
// executed from the beginning.
func (s *Scheduler) recordRunTime(r *run, took time.Duration) {
	took = s.nearTime(r, took)

	if s.estimates.HasHistory(r.queue) {
		expected := s.estimates.Correct(r.queue, r.step.Estimate)

		if r.gang != nil {
			plan.RecordGangRun(r.gang.slownesses, took, expected)
		} else {
			r.worker.slowness.Record(took, expected)
		}
	}

	s.estimates.Record(r.queue, took, r.step.Estimate)
}

// updateHealth updates the worker's health, the queue's failure rate and the run time estimates with
// a finished run.
func (s *Scheduler) updateHealth(f finishedRun, now time.Time) {
	health := &f.run.worker.health

	switch f.cause {
	case mill.FinishDone:
		health.RecordSuccess()
		s.recordSuccess(f.run, now)
	case mill.FinishFailed:
		health.DelayTry(now)

		if f.run.gang != nil {
			s.gangMemberFailed(f.run, now)

			return
		}

		// A task that has failed before, probably elsewhere, says nothing about this worker.
		if !f.run.failedBefore {
			health.RecordFailure(f.run.task.Job, s.failureRates.FailureWeight(f.run.queue), now)
		}

		s.failureRates.Record(f.run.queue, true)
	default:
	}
}

// recordSuccess records a successful run in the queue's failure rate and the run time estimates. All members of a gang have
// succeeded, but their run time is one.
func (s *Scheduler) recordSuccess(r *run, now time.Time) {
	s.failureRates.Record(r.queue, false)

	if r.gang != nil {
		if r.gang.done {
			return
		}

		r.gang.done = true
	}

	if !r.startedAt.IsZero() && r.resumeFrom == "" {
		s.recordRunTime(r, now.Sub(r.startedAt))
	}
}
