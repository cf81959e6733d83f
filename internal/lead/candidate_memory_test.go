package lead

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCandidateMemory expects that a plan does not overwrite the candidates of the plan before, which are described until it
// is complete, and that those of a backlog that has shrunk are dropped.
func TestCandidateMemory(t *testing.T) {
	var memory candidateMemory

	fill := func(count int) (filled []*candidate) {
		memory.begin()

		for range count {
			filled = append(filled, memory.next())
		}

		return filled
	}

	last := fill(3)

	for _, count := range []int{2, 5, 0, 1, 4} {
		inUse := make(map[*candidate]bool)
		for _, c := range last {
			inUse[c] = true
		}

		last = fill(count)
		for _, c := range last {
			assert.Assert(t, c != nil && !inUse[c])
			inUse[c] = true
		}
	}

	fill(1)
	fill(1)
	fill(1)
	assert.Assert(t, len(memory.plan)+len(memory.earlier) <= 2)
}
