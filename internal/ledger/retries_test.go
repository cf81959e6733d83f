package ledger

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// retryTest is a ledger with one worker and an all-at-once job of two tasks that may be retried once.
type retryTest struct {
	t     *testing.T
	state *State
	index uint64
}

func newRetryTest(t *testing.T) *retryTest {
	t.Helper()

	r := &retryTest{t: t, state: NewState()}
	r.apply(&Command{Lead: &Lead{Holder: "s", Term: 1}})
	r.apply(&Command{Enroll: &Enroll{Term: 1, Worker: "w", Capacity: mill.Resources{MilliCores: 4}}})
	r.apply(&Command{Submit: &Submit{ID: "job", Spec: mill.JobSpec{
		Kind: mill.KindAllAtOnce, Tasks: 2, PerTask: mill.Resources{MilliCores: 1}, MaxRetries: 1,
	}}})

	return r
}

func (r *retryTest) apply(command *Command) {
	r.index++
	assert.Equal(r.t, r.state.Apply(r.index, command).Status, StatusOK)
}

func (r *retryTest) assign(attempt int, indexes ...int) {
	var placements []Placement

	for _, index := range indexes {
		placements = append(placements, Placement{TaskRef: mill.TaskRef{Job: "job", Index: index, Attempt: attempt}, Worker: "w"})
	}

	r.apply(&Command{Assign: &Assign{Term: 1, Placements: placements}})
}

// fail completes an attempt at tasks as failed, twice in one command and once more in another.
func (r *retryTest) fail(attempt int, indexes ...int) {
	var completions []Completion

	for _, index := range indexes {
		completions = append(completions, Completion{
			TaskRef: mill.TaskRef{Job: "job", Index: index, Attempt: attempt}, State: mill.TaskFailed,
		})
	}

	r.apply(&Command{Complete: &Complete{Term: 1, Completions: append(completions, completions...)}})
	r.apply(&Command{Complete: &Complete{Term: 1, Completions: completions}})
}

// expect compares a task with the expected state and number of failures.
func (r *retryTest) expect(index int, state mill.TaskState, failures int) {
	r.t.Helper()

	job, ok := r.state.Find("job")
	assert.Assert(r.t, ok)
	assert.Equal(r.t, job.Tasks[index].State, state)
	assert.Equal(r.t, job.Tasks[index].Failures, failures)
}

// TestRepeatedCompletionCountsOnce guards against a failure that uses up a retry each time that it is reported, also after
// the next attempt has begun, and against one that uses up those of the other tasks of its all-at-once job.
func TestRepeatedCompletionCountsOnce(t *testing.T) {
	r := newRetryTest(t)
	r.assign(1, 0, 1)
	r.fail(1, 0, 1)
	r.expect(0, mill.TaskPending, 1)
	r.expect(1, mill.TaskPending, 1)

	r.assign(2, 0, 1)
	r.fail(1, 0, 1)
	r.expect(0, mill.TaskAssigned, 1)
	r.expect(1, mill.TaskAssigned, 1)

	r.fail(2, 0)
	r.expect(0, mill.TaskFailed, 2)
	r.expect(1, mill.TaskAssigned, 1)

	r.fail(2, 1)
	r.expect(1, mill.TaskFailed, 2)
	assert.Equal(t, r.state.jobs.finished.Len(), 1)
}

// TestLostWorkerUsesNoRetry guards against attempts that count as failed because their worker was lost.
func TestLostWorkerUsesNoRetry(t *testing.T) {
	r := newRetryTest(t)

	for attempt := 1; attempt <= 5; attempt++ {
		r.assign(attempt, 0, 1)
		r.apply(&Command{Complete: &Complete{Term: 1, Completions: []Completion{
			{TaskRef: mill.TaskRef{Job: "job", Index: 0, Attempt: attempt}, State: mill.TaskPending},
			{TaskRef: mill.TaskRef{Job: "job", Index: 1, Attempt: attempt}, State: mill.TaskPending},
		}}})
	}

	r.expect(0, mill.TaskPending, 0)
	r.expect(1, mill.TaskPending, 0)
}
