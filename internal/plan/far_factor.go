package plan

import "time"

// LearnFarFactor stands for a factor that is learned from ended runs.
const LearnFarFactor = -1

const (
	// minFarRuns is the effective number of runs, near the data and elsewhere, above which their ratio is used.
	minFarRuns = 10
	// maxFarFactor limits a learned factor: larger ratios come from runs that were slow for other reasons.
	maxFarFactor = 3
)

// FarFactors learns, by queue, how many times as long runs take that are not on the rack that suits them; its zero value
// knows none. It is meant for deployments whose settings do not give the factor.
type FarFactors struct {
	queues map[string]*farRuns
}

// farRuns holds decaying sums of run times relative to the estimates: [0] near, [1] elsewhere.
type farRuns struct {
	runs, ratios [2]float64
}

// Record records a run's actual and estimated run times.
func (f *FarFactors) Record(queue string, away bool, actual, estimated time.Duration) {
	if actual <= 0 || estimated <= 0 {
		return
	}

	if f.queues == nil {
		f.queues = make(map[string]*farRuns)
	}

	q, ok := f.queues[queue]
	if !ok {
		q = &farRuns{}
		f.queues[queue] = q
	}

	kind := 0
	if away {
		kind = 1
	}

	q.runs[kind] = historyDecay*q.runs[kind] + 1
	q.ratios[kind] = historyDecay*q.ratios[kind] + actual.Seconds()/estimated.Seconds()
}

// Factor returns the factor of a queue, or 1 while too few runs have ended.
func (f *FarFactors) Factor(queue string) float64 {
	q, ok := f.queues[queue]
	if !ok || min(q.runs[0], q.runs[1]) < minFarRuns {
		return 1
	}

	return max(1, min(maxFarFactor, q.ratios[1]/q.runs[1]/(q.ratios[0]/q.runs[0])))
}
