package oracle

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestAttempts checks the definition of an attempt on the cases that the platform's pages name.
func TestAttempts(t *testing.T) {
	var attempts Attempts

	step := mill.StepID{Job: "j", Step: 1}
	later := mill.StepID{Job: "j", Occurrence: 1, Step: 1}

	assert.Equal(t, attempts.Failed(step.Task(0), true), 0)

	for _, index := range []int{0, 2, 2} {
		attempts.RecordFailed(mill.RunRef{Task: step.Task(index), Run: 1}, true)
	}

	assert.Equal(t, attempts.Failed(step.Task(1), true), 1, "members that fail in one run are one attempt of the gang")

	attempts.RecordFailed(mill.RunRef{Task: step.Task(1), Run: 3}, true)
	assert.Equal(t, attempts.Failed(step.Task(0), true), 2, "runs that fail on another member each time count each")
	assert.Equal(t, attempts.Failed(later.Task(0), true), 0, "each occurrence counts by itself")

	attempts.RecordFailed(mill.RunRef{Task: later.Task(0), Run: 1}, false)
	attempts.RecordFailed(mill.RunRef{Task: later.Task(0), Run: 1}, false)
	attempts.RecordFailed(mill.RunRef{Task: later.Task(1), Run: 1}, false)
	assert.Equal(t, attempts.Failed(later.Task(0), false), 1, "tasks that are no gang count by themselves")
}
