package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestCommandsThatCannotBeLoggedAreDropped guards against a leader that proposes again and again what cannot be logged: the
// tasks go to another worker than one whose id cannot be read, and a run ends without a checkpoint that cannot.
func TestCommandsThatCannotBeLoggedAreDropped(t *testing.T) {
	const unreadable = "x00"

	sim := newSimulation(t, nil, 2)
	sim.unreadable = func(command *jobs.Command) bool {
		switch {
		case command.RecordWorker != nil:
			return command.RecordWorker.ID == unreadable
		case command.Place != nil:
			return command.Place.Worker == unreadable
		case command.Finish != nil:
			return command.Finish.Checkpoint != ""
		default:
			return false
		}
	}

	sim.submit("job", "free", time.Second, mill.Step{
		Count: 3, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 1000}, Checkpointing: true,
	})
	sim.run(5 * time.Second)

	job, _ := sim.state.Job("job")
	assert.Equal(t, job.State(), mill.JobCompleted)

	recorded := sim.state.Workers()
	assert.Assert(t, recorded[unreadable] == nil && recorded["x01"] != nil, "%v", recorded)
}
