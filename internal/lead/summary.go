package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
)

// Summary is the scheduler's status, for logs and metrics.
type Summary struct {
	// OpenJobs counts the jobs that are not finished or have a run that may be active, WaitingSteps
	// those of their steps that wait for capacity or advice, and PendingAdvice those with an
	// outstanding advice request.
	OpenJobs      int
	WaitingSteps  int
	PendingAdvice int
	// ExaminedWorkers is how often the last plan looked at a worker for a step.
	ExaminedWorkers int
	// Runs counts the runs that may be active or are being placed, and Doubtful those that may or
	// may not have started.
	Runs     int
	Doubtful int
	// Workers counts the known workers, and UsableWorkers those that answer and are not leaving.
	Workers       int
	UsableWorkers int
	// UnknownCapacity counts the usable workers whose free capacity is not known.
	UnknownCapacity int
	// AdvisorAddresses counts the addresses that the advisor can be reached through, and
	// BusyAddresses those with an outstanding request.
	AdvisorAddresses int
	BusyAddresses    int
}

func (s *Summary) countWorker(usable, capacityKnown bool) {
	if !usable {
		return
	}

	s.UsableWorkers++

	if !capacityKnown {
		s.UnknownCapacity++
	}
}

// Summary returns the scheduler's current status.
func (s *Scheduler) Summary(now time.Time, state *jobs.State) Summary {
	summary := Summary{
		OpenJobs:     len(state.OpenJobs()),
		WaitingSteps: s.waitingSteps,

		ExaminedWorkers: s.examinedWorkers,
		Runs:            len(s.runs),
		Workers:         len(s.workers),
	}

	for _, a := range s.advice {
		if a.requestPending {
			summary.PendingAdvice++
		}
	}

	for _, r := range s.runs {
		if r.phase == runDoubtful {
			summary.Doubtful++
		}
	}

	for _, w := range s.workers {
		summary.countWorker(w.usable(now), s.capacityKnown(w, now))
	}

	for _, a := range s.advisorAddresses {
		if now.Sub(a.lastHeard) < addressTimeout {
			summary.AdvisorAddresses++
		}

		if a.busy {
			summary.BusyAddresses++
		}
	}

	return summary
}
