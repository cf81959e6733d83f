package jobs

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// gangPlay is a job with one gang of four members and its leaders.
type gangPlay struct {
	t     *testing.T
	state *State
	step  mill.StepID
}

func newGangPlay(t *testing.T, maxAttempts int) *gangPlay {
	t.Helper()

	p := &gangPlay{t: t, state: NewState(), step: mill.StepID{Job: "j"}}
	s := setup(1, "a")
	s.Queues[0].MaxAttempts = maxAttempts
	p.state.Apply(&Command{Setup: s})

	work := mill.Workload{Steps: []mill.Step{{Count: 4, Gang: true}}}
	p.state.Apply(&Command{Submit: &Submit{Job: "j", Queue: "a", Work: work}})

	return p
}

func (p *gangPlay) job() *Job {
	job, ok := p.state.Job("j")
	assert.Assert(p.t, ok)

	return job
}

func (p *gangPlay) place(run int) {
	for index := range 4 {
		place := &Place{Task: p.step.Task(index), Run: run, Worker: string(rune('a' + index))}
		assert.Equal(p.t, p.state.Apply(&Command{Place: place}), ResultApplied)
	}
}

// finish commits the end of a member's run; gang is nil for a leader of an earlier build.
func (p *gangPlay) finish(gang *GangRun, run, index int, cause mill.FinishCause) {
	finished := &Finish{Task: p.step.Task(index), Run: run, Cause: cause}
	if gang != nil {
		gang.Amend(finished)
	}

	p.state.Apply(&Command{Finish: finished})
}

// failAll has all members of a run fail.
func (p *gangPlay) failAll(run int) {
	p.place(run)

	gang := NewGangRun(p.job(), p.step, run)
	for index := range 4 {
		p.finish(gang, run, index, mill.FinishFailed)
	}
}

// loadEarlier loads the state as an earlier build would have stored it.
func (p *gangPlay) loadEarlier() {
	data, err := p.state.Save()
	assert.NilError(p.t, err)

	var stored snapshot

	assert.NilError(p.t, wire.Decode(data, &stored))

	step := &stored.Jobs["j"].Occurrences[0].Steps[0]
	step.FailedRuns, step.EarlierAttempts = nil, 0

	for i := range step.Tasks {
		step.Tasks[i].UncountedFailures = 0
	}

	data, err = wire.Encode(&stored)
	assert.NilError(p.t, err)
	assert.NilError(p.t, p.state.Load(data))
}

// TestMembersThatFailInOneRunAreOneAttempt guards against a job that fails with attempts left.
func TestMembersThatFailInOneRunAreOneAttempt(t *testing.T) {
	p := newGangPlay(t, 3)

	p.failAll(1)
	p.failAll(2)
	assert.Equal(t, p.job().State(), mill.JobRunning)
	assert.Equal(t, p.job().Attempts(p.step.Task(0)), 2)

	p.failAll(3)
	assert.Equal(t, p.job().State(), mill.JobFailed)
	assert.DeepEqual(t, p.state.TakeOutcomes(), []Outcome{{
		Job: "j", Queue: "a", State: mill.JobFailed, Reason: ReasonAttempts, Decider: mill.RunRef{Task: p.step.Task(0), Run: 3},
		Attempts: 3, MaxAttempts: 3, Failures: []int{3, 2, 2, 2},
	}})
}

// TestRunsThatFailOnAnotherMemberCountEach guards against a gang that is started without an end.
func TestRunsThatFailOnAnotherMemberCountEach(t *testing.T) {
	p := newGangPlay(t, 3)

	for run := 1; run <= 3; run++ {
		assert.Equal(t, p.job().State().Final(), false)
		p.place(run)

		gang := NewGangRun(p.job(), p.step, run)
		for index := range 4 {
			cause := mill.FinishGangMemberLost
			if index == run {
				cause = mill.FinishFailed
			}

			p.finish(gang, run, index, cause)
		}
	}

	assert.Equal(t, p.job().State(), mill.JobFailed)
}

// TestNewLeaderCountsNoRunAgain guards against a run that counts once for each leader that reads an end of it.
func TestNewLeaderCountsNoRunAgain(t *testing.T) {
	p := newGangPlay(t, 2)
	p.place(1)

	for index := range 4 {
		p.finish(NewGangRun(p.job(), p.step, 1), 1, index, mill.FinishFailed)
	}

	assert.Equal(t, p.job().State(), mill.JobRunning)
}

// TestEndIsAmendedAgainInTheSameWay guards against a run that never counts because the end that does is proposed twice.
func TestEndIsAmendedAgainInTheSameWay(t *testing.T) {
	p := newGangPlay(t, 2)
	p.place(1)

	gang := NewGangRun(p.job(), p.step, 1)

	for range 2 {
		for index, cause := range []mill.FinishCause{mill.FinishFailed, mill.FinishGangMemberLost} {
			finished := &Finish{Task: p.step.Task(index), Run: 1, Cause: mill.FinishFailed}
			gang.Amend(finished)
			assert.Equal(t, finished.Cause, cause)
			assert.Equal(t, finished.MemberFailed, index == 1)
		}
	}
}

// TestAttemptsAreLeftAfterEarlierBuild guards against jobs that fail early by what an earlier build has counted.
func TestAttemptsAreLeftAfterEarlierBuild(t *testing.T) {
	for _, load := range []bool{false, true} {
		p := newGangPlay(t, 4)
		p.place(1)

		for index := range 3 {
			p.finish(nil, 1, index, mill.FinishFailed)
		}

		p.finish(nil, 1, 3, mill.FinishGangMemberLost)

		if load {
			p.loadEarlier()
		}

		for run := 2; run <= 4; run++ {
			assert.Equal(t, p.job().State(), mill.JobRunning)
			p.failAll(run)
		}

		assert.Equal(t, p.job().State(), mill.JobFailed)
	}
}

// TestRunThatEarlierBuildHasCounted guards against a run that counts once for an earlier build and once for this one.
func TestRunThatEarlierBuildHasCounted(t *testing.T) {
	p := newGangPlay(t, 2)
	p.place(1)
	p.finish(nil, 1, 2, mill.FinishFailed)
	p.loadEarlier()

	gang := NewGangRun(p.job(), p.step, 1)
	for _, index := range []int{3, 0, 1} {
		p.finish(gang, 1, index, mill.FinishFailed)
	}

	assert.Equal(t, p.job().Attempts(p.step.Task(0)), 1)
	assert.Equal(t, p.job().State(), mill.JobRunning)
}

// TestDoneMemberCompletesItsGang guards against a member that fails in a run which another one has completed.
func TestDoneMemberCompletesItsGang(t *testing.T) {
	for _, test := range []struct {
		maxAttempts int
		causes      []mill.FinishCause
		want        mill.JobState
	}{
		{maxAttempts: 2, causes: []mill.FinishCause{mill.FinishDone, mill.FinishFailed}, want: mill.JobCompleted},
		{maxAttempts: 2, causes: []mill.FinishCause{mill.FinishFailed, mill.FinishDone}, want: mill.JobCompleted},
		{maxAttempts: 1, causes: []mill.FinishCause{mill.FinishDone, mill.FinishFailed}, want: mill.JobCompleted},
		{maxAttempts: 1, causes: []mill.FinishCause{mill.FinishFailed, mill.FinishDone}, want: mill.JobFailed},
	} {
		p := newGangPlay(t, test.maxAttempts)
		p.place(1)

		gang := NewGangRun(p.job(), p.step, 1)
		for index, cause := range test.causes {
			p.finish(gang, 1, index, cause)
		}

		assert.Equal(t, p.job().State(), test.want)
	}
}
