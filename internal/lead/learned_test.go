package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestNewLeaderKnowsSlowWorkers guards against a leader that sends urgent tasks to slow workers for the first seconds of its
// term, since it has to learn again what its predecessor knew.
func TestNewLeaderKnowsSlowWorkers(t *testing.T) {
	state := jobs.NewState()
	status := &mill.WorkerStatus{ID: "slow", Service: "s", Capacity: mill.Resources{MilliCores: 1000}}
	state.Apply(&jobs.Command{RecordWorker: status})

	start := time.Now()
	earlier := New(Bounds{}, 1, start, state, place.Pack{})

	for range 20 {
		earlier.estimates.Record("q", time.Second, time.Second)
		earlier.workers["slow"].slowness.Record(2*time.Second, time.Second)
		earlier.failureRates.Record("q", true)
	}

	commands := earlier.recordLearned(start)
	assert.Equal(t, len(commands), 1)
	assert.Equal(t, len(earlier.recordLearned(start.Add(time.Minute))), 0, "a record is being committed")

	results := []jobs.Result{state.Apply(&commands[0])}
	earlier.Committed(commands, results, nil, start)
	assert.Equal(t, len(earlier.recordLearned(start.Add(time.Minute))), 0, "nothing has changed")

	data, err := state.Save()
	assert.NilError(t, err)

	restored := jobs.NewState()
	assert.NilError(t, restored.Load(data))

	next := New(Bounds{}, 2, start, restored, place.Pack{})
	assert.Assert(t, next.workers["slow"].slowness.Factor() > 1.5, "%v", next.workers["slow"].slowness.Factor())
	assert.Assert(t, next.estimates.HasHistory("q"))
	assert.Assert(t, next.failureRates.FailureWeight("q") < 1)

	state.Apply(&jobs.Command{ForgetWorker: "slow"})
	assert.Equal(t, len(state.Learned().Workers), 0, "what is known of a worker that has left is kept")
}
