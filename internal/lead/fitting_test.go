package lead

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFitting compares the workers that a pass keeps for each size of task with a search through all of them, while the pass
// places tasks and reserves capacity. A worker that is missing would leave a step waiting beside room for it.
func TestFitting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := func(name string, least int) mill.Resources {
			return mill.Resources{
				MilliCores:   int64(rapid.IntRange(least, 40).Draw(t, name)),
				Accelerators: int64(rapid.IntRange(0, 1).Draw(t, name+" accelerators")),
			}
		}

		s := New(Bounds{}, 1, simStart, jobs.NewState(), nil)
		among, allowed := &pool{}, workerSet(nil)

		for i := range rapid.IntRange(1, 70).Draw(t, "workers") {
			w := s.worker(fmt.Sprint("w", i))
			w.status.Capacity = size("capacity", 0)
			among.members.add(w.index)

			if rapid.Bool().Draw(t, "allowed") {
				allowed.add(w.index)
			}

			if rapid.Bool().Draw(t, "schedulable") {
				among.add(w)
			}
		}

		for range rapid.IntRange(1, 2*maxFittings).Draw(t, "steps") {
			c := &candidate{step: &mill.Step{PerTask: size("task", 1)}, overdue: rapid.Bool().Draw(t, "overdue")}
			checkFitting(t, s, c, among, allowed)

			w := s.workersByIndex[rapid.IntRange(0, len(s.workersByIndex)-1).Draw(t, "worker")]
			if rapid.Bool().Draw(t, "reserves") {
				w.reserve(c.step.PerTask)
			} else {
				w.used = w.used.Add(c.step.PerTask)
			}
		}
	})
}

func checkFitting(t *rapid.T, s *Scheduler, c *candidate, among *pool, allowed workerSet) {
	var plain, plainAllowed, withRoom, plainWithRoom []*worker

	for w := range among.eachFitting(c) {
		if !c.step.PerTask.Fits(w.unreserved()) {
			continue
		}

		plain = append(plain, w)

		if allowed.has(w.index) {
			plainAllowed = append(plainAllowed, w)
		}
	}

	unreserved := slices.Collect(among.eachUnreserved(c, s.workersByIndex))
	unreserved = slices.DeleteFunc(unreserved, func(w *worker) bool { return !c.step.PerTask.Fits(w.unreserved()) })
	assert.Assert(t, slices.Equal(unreserved, plain))

	if known := among.fittingFor(c, s.workersByIndex); known != nil && len(among.workers) > 0 {
		assert.Assert(t, slices.Equal(known.among(among.byFreeCapacity(c), allowed), plainAllowed))
	}

	for _, w := range s.workersByIndex {
		if allowed.has(w.index) && c.step.PerTask.Fits(c.room(w)) {
			plainWithRoom = append(plainWithRoom, w)
		}
	}

	assert.Assert(t, !s.eachWithRoom(c, among, allowed.word, func(w *worker) bool {
		withRoom = append(withRoom, w)

		return true
	}))
	assert.Assert(t, slices.Equal(withRoom, plainWithRoom))
}
