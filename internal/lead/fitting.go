package lead

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// maxFittings bounds the sizes of tasks for which a pass keeps which workers of a pool have room. Finding them takes one
// look at each worker, which does not pay off where each step has a size of its own.
const maxFittings = 32

// fitting is which workers of a pool have room for a task of one size, without those that the pass has seen to have none:
// room only shrinks during a pass. It answers a backlog of many steps with few sizes, each of which would look at all
// workers.
type fitting struct {
	perTask mill.Resources
	// free holds the workers with free capacity for a task, of which a part may be reserved, and count is their number.
	free  workerSet
	count int
	// next links the entries of the sorted workers that have unreserved capacity for a task: next[0] is the position of the
	// first, next[i] that of the one behind position i, and 0 ends the list. It is nil until it is needed.
	next []int32
}

// fittingFor returns which workers have room for a task of the step, given all workers by index, or nil if the pass keeps
// that for enough other sizes or has no workers.
func (p *pool) fittingFor(c *candidate, workers []*worker) *fitting {
	perTask := c.step.Reserves()

	if p.lastFitting != nil && p.lastFitting.perTask == perTask {
		return p.lastFitting
	}

	found, ok := p.fittings[perTask]
	if ok {
		p.lastFitting = found
	}

	if ok || len(p.fittings) == maxFittings || len(p.members) == 0 {
		return found
	}

	found = &fitting{perTask: perTask, free: make(workerSet, len(p.members))}

	for at, word := range p.members {
		eachIndex(at, word, func(index int) bool {
			if perTask.Fits(workers[index].free()) {
				found.free.add(index)
				found.count++
			}

			return true
		})
	}

	if p.fittings == nil {
		p.fittings = make(map[mill.Resources]*fitting)
	}

	p.fittings[perTask] = found

	return found
}

// recheck drops a worker of the set if it no longer has free capacity for a task.
func (f *fitting) recheck(w *worker) {
	if !f.perTask.Fits(w.free()) {
		f.free.remove(w.index)
		f.count--
	}
}

// eachUnreserved yields the workers with unreserved capacity for a task, those with the most free capacity when the workers
// were sorted first, without those that the advisor is known to refuse.
func (f *fitting) eachUnreserved(sorted *freeWorkers, known *advice) iter.Seq[*worker] {
	if f.next == nil {
		f.next = sorted.link(f.perTask)
	}

	return func(yield func(w *worker) bool) {
		before := int32(0)

		for at := f.next[0]; at != 0; at = f.next[at] {
			entry := &sorted.entries[at-1]
			if known.refuses(entry.index) {
				before = at

				continue
			}

			w := entry.worker
			if !f.perTask.Fits(w.unreserved()) {
				f.next[before] = f.next[at]

				continue
			}

			before = at

			if !yield(w) {
				return
			}
		}
	}
}

// among returns the workers of a set with unreserved capacity for a task, in the order of eachUnreserved.
func (f *fitting) among(sorted *freeWorkers, set workerSet) []*worker {
	var found []*worker

	positions := sorted.positionsByIndex()

	for at, word := range f.free {
		eachIndex(at, word&set.word(at), func(index int) bool {
			if index >= len(positions) || positions[index] == 0 {
				return true // Only overdue steps may use the worker.
			}

			if w := sorted.entries[positions[index]-1].worker; f.perTask.Fits(w.unreserved()) {
				found = append(found, w)
			}

			return true
		})
	}

	slices.SortFunc(found, func(a, b *worker) int { return cmp.Compare(positions[a.index], positions[b.index]) })

	return found
}
