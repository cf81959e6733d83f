package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
)

// Summary is what the scheduler has in hand, for logs and metrics.
type Summary struct {
	// Open counts the jobs that are not over, Steps those of their steps that wait for
	// room or advice, and Asking those for which the advisor is being asked.
	Open   int
	Steps  int
	Asking int
	// Runs counts the runs that may be alive, and Doubtful those that are being barred.
	Runs     int
	Doubtful int
	// Workers counts those that are known, and Usable those that may be given work.
	Workers int
	Usable  int
	// Callers counts the addresses that the advisor can be asked from, Busy those that are asked through.
	Callers int
	Busy    int
}

// Summary returns what the scheduler has in hand.
func (s *Scheduler) Summary(now time.Time, state *jobs.State) Summary {
	summary := Summary{Open: len(state.OpenJobs()), Steps: s.waitingSteps, Runs: len(s.runs), Workers: len(s.workers)}

	for _, a := range s.advice {
		if a.asking {
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

	for _, c := range s.callers {
		if now.Sub(c.heard) < quietCaller {
			summary.Callers++
		}

		if c.busy {
			summary.Busy++
		}
	}

	return summary
}
