package ledger

import (
	"fmt"
	"testing"

	"github.com/cranberrymill/cranberrymill/internal/fakes"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// newFilledState returns a state with running tasks, ten to a job, and finished intents.
func newFilledState(tasks, intents int) *State {
	s := NewState()
	index := uint64(0)

	apply := func(command Command) {
		index++

		s.Apply(index, &command)
	}

	apply(Command{Lead: &Lead{Holder: "s", Term: 1}})
	apply(Command{Enroll: &Enroll{Term: 1, Worker: "w", Capacity: mill.Resources{MilliCores: 1 << 40}}})

	for job := range tasks / 10 {
		id := fmt.Sprintf("dc.%016d", job)

		apply(Command{Submit: &Submit{ID: id, Spec: mill.JobSpec{
			Kind: mill.KindBatch, Team: "team", Tasks: 10, PerTask: mill.Resources{MilliCores: 1}, Command: "run",
		}}})

		var placements []Placement
		for i := range 10 {
			placements = append(placements, Placement{TaskRef: mill.TaskRef{Job: id, Index: i, Attempt: 1}, Worker: "w"})
		}

		apply(Command{Assign: &Assign{Term: 1, Placements: placements}})
	}

	for i := range intents {
		key := fmt.Sprintf("team\x00booking\x00%020d", i)
		attempt := Attempt{Owner: "vm1", Incarnation: 1, Sequence: uint64(i)}

		apply(Command{Begin: &Begin{Key: key, Digest: make([]byte, 32), Attempt: attempt}})
		apply(Command{Finish: &Finish{Key: key, Attempt: attempt, Answer: Answer{
			Status: 200, Headers: []Header{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, 200),
		}}})
	}

	return s
}

// BenchmarkStateMemory measures the memory that a ledger's state uses, and the
// size and duration of its snapshot.
func BenchmarkStateMemory(b *testing.B) {
	sizes := []struct{ tasks, intents int }{{500, 0}, {4_500, 0}, {53_000, 0}, {0, 1_000}, {0, 10_000}, {0, 50_000}}

	for _, size := range sizes {
		b.Run(fmt.Sprintf("tasks=%d/intents=%d", size.tasks, size.intents), func(b *testing.B) {
			before := fakes.LiveHeap()
			s := newFilledState(size.tasks, size.intents)
			heapKiB := float64(fakes.LiveHeap()-before) / 1024

			for b.Loop() {
				data, err := s.Save()
				if err != nil {
					b.Fatal(err)
				}

				b.ReportMetric(float64(len(data))/1024, "KiB-snapshot")
			}

			b.ReportMetric(heapKiB, "KiB")
		})
	}
}
