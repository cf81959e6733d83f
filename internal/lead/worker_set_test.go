package lead

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestWorkerSet checks that the indexes that were added are found, in order, and that looking beyond the end finds none.
func TestWorkerSet(t *testing.T) {
	var set workerSet

	added := []int{0, 63, 64, 200}
	for _, index := range added {
		set.add(index)
		set.add(index)
	}

	var found []int

	for at := range len(set) + 1 {
		assert.Assert(t, eachIndex(at, set.word(at), func(index int) bool {
			found = append(found, index)

			return true
		}))
	}

	assert.DeepEqual(t, found, added)
	assert.Assert(t, !eachIndex(0, set.word(0), func(int) bool { return false }))
}
