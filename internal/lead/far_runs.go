package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
)

// awayOn reports whether a run of the step on a worker takes longer than on the rack that suits it.
func (c *candidate) awayOn(w *worker) bool {
	if c.step.Gang {
		return c.away
	}

	return c.prefersRack() && w.status.Rack != c.step.DataRack
}

// nearTime returns how long a run would have taken on the rack that suits it, so that the estimates don't depend on where
// runs were.
func (s *Scheduler) nearTime(r *run, took time.Duration) time.Duration {
	if !s.weighsRacks() || r.step.DataRack == "" && !r.step.SameRack {
		return took
	}

	if s.bounds.FarFactor == plan.LearnFarFactor {
		s.racks.factors.Record(r.queue, r.away, took, r.step.Estimate)
	}

	near := time.Duration(float64(took) / s.runFactor(r))

	members := int64(1)
	if r.gang != nil {
		members = int64(r.gang.members)
	}

	s.racks.counts.AwayCoreMilli += (took - near).Milliseconds() * members * r.reserves.MilliCores / milliCoresPerCore

	return near
}

const milliCoresPerCore = 1000

// runFactor returns how many times as long as estimated a run takes because of where it is.
func (s *Scheduler) runFactor(r *run) float64 {
	if !r.away {
		return 1
	}

	return s.farFactor(r.queue)
}
