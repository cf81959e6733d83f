package route

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// RoundRobinName is the name of RoundRobin in a preset.
const RoundRobinName = "roundRobin"

func init() {
	mill.Routers.Register(RoundRobinName, func() mill.Router { return &RoundRobin{} })
}

// RoundRobin chooses the candidates in turn. It is the baseline that other policies are measured against.
type RoundRobin struct {
	next int
}

// Choose returns the index of a candidate with a free slot, or -1.
func (r *RoundRobin) Choose(candidates []mill.Candidate, _ uint64) int {
	for range candidates {
		at := r.next % len(candidates)
		r.next = at + 1

		if candidates[at].Busy < candidates[at].Slots {
			return at
		}
	}

	return -1
}
