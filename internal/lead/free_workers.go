package lead

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// freeWorkers holds the workers of a pool sorted by their free capacity at the start of a pass, the most first. Free
// capacity only shrinks during a pass, so the workers that a task does not fit on at the start need not be looked at.
type freeWorkers struct {
	entries []freeWorker
	// dimension is the amount that the entries are sorted by first.
	dimension func(r mill.Resources) int64
	// positions holds the position of each worker's entry by the worker's index, from 1 on; 0 for none. It is nil until it is
	// needed.
	positions []int32
}

type freeWorker struct {
	worker *worker
	// index is that of the worker: it is looked up without the worker's record, which is large.
	index int
	free  mill.Resources
}

func newFreeWorkers(workers []*worker, dimension func(r mill.Resources) int64) *freeWorkers {
	f := &freeWorkers{entries: make([]freeWorker, 0, len(workers)), dimension: dimension}

	for _, w := range workers {
		f.entries = append(f.entries, freeWorker{worker: w, index: w.index, free: w.free()})
	}

	slices.SortFunc(f.entries, func(a, b freeWorker) int {
		return cmp.Or(
			cmp.Compare(dimension(b.free), dimension(a.free)),
			cmp.Compare(b.free.MilliCores, a.free.MilliCores),
			byID(a.worker, b.worker),
		)
	})

	return f
}

// link returns the list of the entries that a task did fit on at the start of the pass; see fitting.next.
func (f *freeWorkers) link(perTask mill.Resources) []int32 {
	next := make([]int32, len(f.entries)+1)
	least, before := f.dimension(perTask), int32(0)

	for i, position := 0, int32(1); i < len(f.entries); i, position = i+1, position+1 {
		if f.dimension(f.entries[i].free) < least {
			break
		}

		if perTask.Fits(f.entries[i].free) {
			next[before], before = position, position
		}
	}

	return next
}

// positionsByIndex returns the position of each worker's entry by the worker's index.
func (f *freeWorkers) positionsByIndex() []int32 {
	if f.positions != nil {
		return f.positions
	}

	highest := 0
	for i := range f.entries {
		highest = max(highest, f.entries[i].index)
	}

	f.positions = make([]int32, highest+1)

	for i, position := 0, int32(1); i < len(f.entries); i, position = i+1, position+1 {
		f.positions[f.entries[i].index] = position
	}

	return f.positions
}

// eachFitting yields the workers that a task did fit on at the start of the pass, those with the most free capacity first.
func (f *freeWorkers) eachFitting(perTask mill.Resources) iter.Seq[*worker] {
	least := f.dimension(perTask)

	return func(yield func(w *worker) bool) {
		for i := range f.entries {
			entry := &f.entries[i]
			if f.dimension(entry.free) < least {
				return
			}

			if perTask.Fits(entry.free) && !yield(entry.worker) {
				return
			}
		}
	}
}

func milliCores(r mill.Resources) int64 { return r.MilliCores }

func accelerators(r mill.Resources) int64 { return r.Accelerators }
