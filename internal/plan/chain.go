package plan

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Chain returns the longest chain of work among the steps that are not complete,
// where a step takes the time that the function gives.
func Chain(work *mill.Workload, complete func(step int) bool, takes func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(work.Steps))

	var longest time.Duration

	for i := range work.Steps {
		if complete != nil && complete(i) {
			continue
		}

		var begin time.Duration

		for _, before := range work.Steps[i].After {
			begin = max(begin, ends[before])
		}

		ends[i] = begin + takes(i)
		longest = max(longest, ends[i])
	}

	return longest
}
