package plan

import (
	"container/heap"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// rating is the score of the worker with that index.
type rating struct {
	index int
	score float64
}

// ranking is a heap of the workers that can take a task, the best first. It implements heap.Interface.
type ranking []rating

// newRanking rates all workers that can take a task of the step.
func newRanking(workers []CandidateWorker, demand *Demand, placer mill.Placer) ranking {
	ranked := make(ranking, 0, len(workers))

	for i := range workers {
		if workers[i].canTake(demand) {
			ranked = append(ranked, rating{index: i, score: workers[i].score(demand, placer)})
		}
	}

	heap.Init(&ranked)

	return ranked
}

// Len returns the number of workers.
func (r *ranking) Len() int {
	return len(*r)
}

// Less reports whether worker i comes before worker j. Of equal ones the first in the list comes first.
func (r *ranking) Less(i, j int) bool {
	a, b := &(*r)[i], &(*r)[j]

	return a.score > b.score || a.score == b.score && a.index < b.index
}

// Swap swaps two workers.
func (r *ranking) Swap(i, j int) {
	(*r)[i], (*r)[j] = (*r)[j], (*r)[i]
}

// Push adds a rating.
func (r *ranking) Push(value any) {
	if added, ok := value.(rating); ok {
		*r = append(*r, added)
	}
}

// Pop removes and returns the last rating.
func (r *ranking) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]

	return last
}
