package plan

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// CriticalPath returns the duration of the critical path through the steps that are not complete,
// given an estimate of each step's duration. A nil complete function means that none is.
func CriticalPath(work *mill.Workload, complete func(step int) bool, estimate func(step int) time.Duration) time.Duration {
	var few [8]time.Duration // Most jobs have few steps, and a plan does this for each job that waits.

	finishTimes := few[:]
	if len(work.Steps) > len(few) {
		finishTimes = make([]time.Duration, len(work.Steps))
	}

	var longest time.Duration

	for i := range work.Steps {
		if complete != nil && complete(i) {
			continue
		}

		var start time.Duration

		for _, predecessor := range work.Steps[i].After {
			start = max(start, finishTimes[predecessor])
		}

		finishTimes[i] = start + estimate(i)
		longest = max(longest, finishTimes[i])
	}

	return longest
}
