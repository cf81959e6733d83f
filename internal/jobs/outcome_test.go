package jobs

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestOutcomeNamesItsCause guards against jobs that end without a record of what decided that.
func TestOutcomeNamesItsCause(t *testing.T) {
	task := mill.StepID{Job: "j"}.Task(0)
	finish := func(run int, cause mill.FinishCause) Command {
		return Command{Finish: &Finish{Task: task, Run: run, Cause: cause}}
	}
	place := func(run int) Command {
		return Command{Place: &Place{Task: task, Run: run, Worker: "w"}}
	}

	crashed := finish(1, mill.FinishWorkerCrashed)
	crashed.Finish.Suspicion, crashed.Finish.GivesUp = 3, true

	for _, test := range []struct {
		name     string
		commands []Command
		want     Outcome
	}{
		{
			name: "done after a failure", commands: []Command{
				place(1), finish(1, mill.FinishFailed), place(2), finish(2, mill.FinishDone),
			},
			want: Outcome{
				State: mill.JobCompleted, Reason: ReasonTasksDone, Decider: mill.RunRef{Task: task, Run: 2}, Attempts: 1,
				Failures: []int{1},
			},
		},
		{
			name: "attempts", commands: []Command{place(1), finish(1, mill.FinishFailed), place(3), finish(3, mill.FinishFailed)},
			want: Outcome{
				State: mill.JobFailed, Reason: ReasonAttempts, Decider: mill.RunRef{Task: task, Run: 3}, Attempts: 2, Failures: []int{2},
			},
		},
		{
			name: "crashes", commands: []Command{place(1), crashed},
			want: Outcome{
				State: mill.JobFailed, Reason: ReasonCrashes, Decider: mill.RunRef{Task: task, Run: 1}, Failures: []int{0},
			},
		},
		{
			name: "canceled", commands: []Command{{Cancel: &Cancel{Job: "j"}}, {Cancel: &Cancel{Job: "j"}}},
			want: Outcome{State: mill.JobCanceled, Reason: ReasonCanceled},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			s.Apply(&Command{Setup: setup(1, "a")})
			s.Apply(&Command{Submit: &Submit{Job: "j", Queue: "a", Work: mill.Workload{Steps: []mill.Step{{Count: 1}}}}})

			for i := range test.commands {
				s.Apply(&test.commands[i])
			}

			test.want.Job, test.want.Queue, test.want.MaxAttempts = "j", "a", 2
			assert.DeepEqual(t, s.TakeOutcomes(), []Outcome{test.want})
			assert.Equal(t, len(s.TakeOutcomes()), 0)
		})
	}
}
