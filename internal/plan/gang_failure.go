package plan

import (
	"slices"
	"time"
)

// GangFailure is a failed run of a gang as evidence against its workers; its zero value is ready for use. However many
// members have failed, the run is one failure, and their workers share its weight: a single faulty worker is detected as by
// its other tasks, and a job that fails on any worker accuses each of them less.
type GangFailure struct {
	// suspects holds the workers of the members that have failed.
	suspects []*WorkerHealth
}

// Add adds a member that has failed, by its worker.
func (f *GangFailure) Add(worker *WorkerHealth) {
	if !slices.Contains(f.suspects, worker) {
		f.suspects = append(f.suspects, worker)
	}
}

// Accuse records the run as evidence against the workers.
func (f *GangFailure) Accuse(job string, weight float64, now time.Time) {
	for _, worker := range f.suspects {
		worker.RecordFailure(job, weight/float64(len(f.suspects)), now)
	}
}
