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
	// UnknownCapacity counts the usable workers whose free capacity is not known, OnProbation those that are given one
	// task at a time, and BusyOnProbation those of them that have one.
	UnknownCapacity int
	OnProbation     int
	BusyOnProbation int
	// AdvisorAddresses counts the addresses that the advisor can be reached through, and
	// BusyAddresses those with an outstanding request.
	AdvisorAddresses int
	BusyAddresses    int
	// LongestWait is the step that waits for the longest time; it is zero if none has waited for long.
	LongestWait WaitingStep
	// StandingJobs counts the jobs that have nothing running beside room for them, and Standstills describes some that were
	// not described before.
	StandingJobs int
	Standstills  []Standstill
}

func (s *Summary) countUsableWorker(w *worker, capacityKnown bool) {
	s.UsableWorkers++

	if !capacityKnown {
		s.UnknownCapacity++
	}

	if !w.health.OnProbation() {
		return
	}

	s.OnProbation++

	if w.tried() {
		s.BusyOnProbation++
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
		LongestWait:     s.describeLongestWait(now),
	}

	summary.StandingJobs, summary.Standstills = s.standstills.update(s, now)

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
		if w.usable(now) {
			summary.countUsableWorker(w, s.capacityKnown(w, now))
		}
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
