package jobs

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestMemberThatEndsWhereItFailedBefore guards against a run that counts as failed because of where a member has ended.
func TestMemberThatEndsWhereItFailedBefore(t *testing.T) {
	p := newGangPlay(t, 4)

	p.place(1)

	for index, cause := range []mill.FinishCause{
		mill.FinishFailed, mill.FinishFailed, mill.FinishGangMemberLost, mill.FinishGangMemberLost,
	} {
		p.finish(nil, 1, index, cause)
	}

	// The gang goes to the same workers again, and is preempted there.
	p.place(2)
	p.finish(nil, 2, 0, mill.FinishStopped)
	p.loadEarlier()

	gang := NewGangRun(p.job(), p.step, 2)
	for index := 1; index <= 3; index++ {
		p.finish(gang, 2, index, mill.FinishStopped)
	}

	p.failAll(3)
	p.failAll(4)
	assert.Equal(t, p.job().State(), mill.JobRunning, "runs 1, 3 and 4 have failed, of 4 that may")
}

// TestMemberFailsNoMoreOftenThanAllowedAfterRollBack guards against a start without attempts left after a roll-back.
func TestMemberFailsNoMoreOftenThanAllowedAfterRollBack(t *testing.T) {
	const maxAttempts = 4

	p := newGangPlay(t, maxAttempts)

	for run := 1; !p.job().Finished(); run++ {
		assert.Assert(t, run <= maxAttempts, "run %d starts after member 3 has failed in each run before", run)
		p.place(run)

		gang := NewGangRun(p.job(), p.step, run)
		p.finish(gang, run, run%3, mill.FinishFailed)
		p.finish(gang, run, 3, mill.FinishFailed)
		p.finish(gang, run, (run+1)%3, mill.FinishGangMemberLost)
		p.finish(gang, run, (run+2)%3, mill.FinishGangMemberLost)

		if run == maxAttempts-1 {
			p.loadEarlier()
		}
	}
}

// TestReasonOfJobThatIsOutOfAttempts guards against a log line that blames crashes of workers when there were none.
func TestReasonOfJobThatIsOutOfAttempts(t *testing.T) {
	p := newGangPlay(t, 2)

	p.failAll(1)
	p.place(2)

	gang := NewGangRun(p.job(), p.step, 2)
	gang.Amend(&Finish{Task: p.step.Task(0), Run: 2, Cause: mill.FinishFailed})
	p.finish(gang, 2, 1, mill.FinishGangMemberLost)

	assert.Equal(t, p.job().State(), mill.JobFailed)
	assert.Equal(t, p.state.TakeOutcomes()[0].Reason, ReasonAttempts)
}

// TestReplicasTellTheSameOfAnOutcome guards against stores that log different attempts since one has loaded earlier data.
func TestReplicasTellTheSameOfAnOutcome(t *testing.T) {
	const maxAttempts = 4

	plays := []*gangPlay{newGangPlay(t, maxAttempts), newGangPlay(t, maxAttempts)}

	for run := 1; run <= maxAttempts; run++ {
		for _, p := range plays {
			p.place(run)
		}

		gang := NewGangRun(plays[0].job(), plays[0].step, run)

		for _, index := range []int{run % 4, (run + 1) % 4, (run + 2) % 4, (run + 3) % 4} {
			cause := mill.FinishFailed
			if index != run%4 {
				cause = mill.FinishGangMemberLost
			}

			finished := &Finish{Task: plays[0].step.Task(index), Run: run, Cause: cause}
			gang.Amend(finished)

			for _, p := range plays {
				p.state.Apply(&Command{Finish: finished})
			}
		}

		if run == 2 {
			plays[1].loadEarlier()
		}
	}

	assert.Equal(t, plays[0].job().Outcome, mill.JobFailed)
	assert.DeepEqual(t, plays[0].state.TakeOutcomes(), plays[1].state.TakeOutcomes())
}

// TestLongRunningGangNeverFails guards against attempts that are counted for a gang that may fail at any time.
func TestLongRunningGangNeverFails(t *testing.T) {
	p := newGangPlay(t, 1)
	p.job().Work.Steps[0].LongRunning = true

	for run := 1; run <= 3; run++ {
		p.failAll(run)
		p.loadEarlier()
		assert.Equal(t, p.job().State(), mill.JobRunning)
		assert.Equal(t, p.job().Attempts(p.step.Task(0)), 0)
	}

	_, task := p.job().Task(p.step.Task(1))
	assert.DeepEqual(t, task.FailedOn, []string{"b"})
}

// TestMemberWhoseFailureDoesNotCountHasFailed guards against a member that starts again where it has failed.
func TestMemberWhoseFailureDoesNotCountHasFailed(t *testing.T) {
	p := newGangPlay(t, 3)
	p.failAll(1)

	for index := range 4 {
		_, task := p.job().Task(p.step.Task(index))
		assert.Assert(t, task.HasFailed(), "member %d", index)
		assert.DeepEqual(t, task.FailedOn, []string{task.Worker})
	}
}

// TestMemberThatEndsWhereItHasNotFailed guards against a run that counts as failed because an earlier one of a member did.
func TestMemberThatEndsWhereItHasNotFailed(t *testing.T) {
	p := newGangPlay(t, 4)

	p.place(1)

	for index, cause := range []mill.FinishCause{
		mill.FinishFailed, mill.FinishFailed, mill.FinishGangMemberLost, mill.FinishGangMemberLost,
	} {
		p.finish(nil, 1, index, cause)
	}

	for index := range 4 {
		p.state.Apply(&Command{Place: &Place{Task: p.step.Task(index), Run: 2, Worker: "other"}})
	}

	p.finish(nil, 2, 0, mill.FinishStopped)
	p.loadEarlier()
	assert.Equal(t, p.job().Attempts(p.step.Task(0)), 1)
}

// TestJobEndsWithAnyEndOfItsLastRun guards against a further start if the end that counts is lost with its leader.
func TestJobEndsWithAnyEndOfItsLastRun(t *testing.T) {
	p := newGangPlay(t, 2)

	p.failAll(1)
	p.place(2)

	gang := NewGangRun(p.job(), p.step, 2)
	gang.Amend(&Finish{Task: p.step.Task(0), Run: 2, Cause: mill.FinishFailed})
	p.finish(gang, 2, 1, mill.FinishLeaseExpired)
	assert.Equal(t, p.job().State(), mill.JobFailed)
}

// TestDoneGangDoesNotEndItsJob guards against a job that fails though the last run of its gang is done.
func TestDoneGangDoesNotEndItsJob(t *testing.T) {
	p := newGangPlay(t, 1)

	job := p.job()
	job.Work.Steps = append(job.Work.Steps, mill.Step{Count: 1})
	job.Occurrences[0].Steps = append(job.Occurrences[0].Steps, Step{Tasks: make([]Task, 1)})

	p.place(1)

	gang := NewGangRun(job, p.step, 1)
	gang.Amend(&Finish{Task: p.step.Task(0), Run: 1, Cause: mill.FinishFailed})
	p.finish(gang, 1, 1, mill.FinishDone)
	p.finish(gang, 1, 0, mill.FinishFailed)
	assert.Equal(t, p.job().State(), mill.JobRunning)
	assert.Equal(t, p.job().Occurrences[0].Steps[0].Complete(), true)
}

// TestGangWithoutLimitKeepsNoRuns guards against data that grows with each run of a gang that may fail at will.
func TestGangWithoutLimitKeepsNoRuns(t *testing.T) {
	p := newGangPlay(t, 0)

	for run := 1; run <= 3; run++ {
		p.failAll(run)
	}

	assert.Equal(t, p.job().State(), mill.JobRunning)
	assert.Equal(t, len(p.job().Occurrences[0].Steps[0].FailedRuns), 0)
}
