package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
)

// Summary is the scheduler's status, for logs and metrics.
type Summary struct {
	// Open counts the jobs that are not over, Steps those of their steps that wait for capacity or
	// advice, and Asking those with an outstanding advice request.
	Open   int
	Steps  int
	Asking int
	// Runs counts the runs that may be active or are being placed, and Doubtful those that may or
	// may not have started.
	Runs     int
	Doubtful int
	// Workers counts the known workers, and Usable those that may be given work.
	Workers int
	Usable  int
	// Callers counts the addresses that the advisor can be reached through, and Busy those with an
	// outstanding request.
	Callers int
	Busy    int
}

// Summary returns the scheduler's current status.
func (s *Scheduler) Summary(now time.Time, state *jobs.State) Summary {
	summary := Summary{Open: len(state.Open()), Steps: s.waitingSteps, Runs: len(s.runs), Workers: len(s.workers)}

	for _, a := range s.advice {
		if a.requestPending {
			summary.Asking++
		}
	}

	for _, r := range s.runs {
		if r.phase == runDoubtful {
			summary.Doubtful++
		}
	}

	for _, w := range s.workers {
		if w.usable(now) {
			summary.Usable++
		}
	}

	for _, c := range s.advisorAddresses {
		if now.Sub(c.lastHeard) < addressTimeout {
			summary.Callers++
		}

		if c.busy {
			summary.Busy++
		}
	}

	return summary
}
