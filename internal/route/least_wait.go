package route

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// LeastWaitName is the name of LeastWait in a preset.
const LeastWaitName = "leastWait"

func init() {
	mill.Routers.Register(LeastWaitName, func() mill.Router { return &LeastWait{} })
}

// LeastWait chooses the candidate with the shortest expected time to an answer.
// It breaks ties at random, so that entry servers with the same figures do not
// all choose the same upstream.
type LeastWait struct{}

// Choose returns the index of a candidate with a free slot, or -1.
func (*LeastWait) Choose(candidates []mill.Candidate, random uint64) int {
	best := -1
	least := time.Duration(0)

	if len(candidates) == 0 {
		return best
	}

	start := int(random % uint64(len(candidates)))

	for i := range candidates {
		at := (start + i) % len(candidates)
		candidate := &candidates[at]

		if candidate.Busy >= candidate.Slots {
			continue
		}

		wait := expectedTime(candidate)
		if best < 0 || wait < least {
			best = at
			least = wait
		}
	}

	return best
}

// expectedTime returns the expected time to an answer, which grows with the number of busy slots.
func expectedTime(candidate *mill.Candidate) time.Duration {
	return candidate.MeanTime + candidate.MeanTime*time.Duration(candidate.Busy)/time.Duration(candidate.Slots)
}
