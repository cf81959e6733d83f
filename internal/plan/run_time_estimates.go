package plan

import (
	"maps"
	"slices"
	"time"
)

const (
	// historyDecay is the weight of a run relative to the next one. The effective history is the
	// last hundred runs of a queue: at ordinary traffic, those of some seconds to a minute.
	historyDecay = 0.99
	// estimateWeight is the weight of the submitter's estimate, in observed runs.
	estimateWeight = 3
	// minHistoryRuns is the effective number of runs above which a queue's history is used to rate
	// workers by their run times.
	minHistoryRuns = 10
	// regularization is the variance of the estimates, as a share of their squared mean, below
	// which the estimates are assumed to be wrong by a constant factor.
	regularization = 0.02
	// minShareOfMean limits a correction: no run is assumed to be shorter than this share of
	// the queue's mean.
	minShareOfMean = 0.1
	// historySums is the number of sums that a queue's history consists of.
	historySums = 5
)

// RunTimeEstimates corrects the submitters' run time estimates by the observed run times, per queue; its
// zero value returns the estimates unchanged. It is meant for queues with poor estimates: the
// weaker their correlation with the run times, the closer the corrected estimates are to the
// queue's mean.
type RunTimeEstimates struct {
	regressions map[string]*regression
}

// regression holds the decaying sums for a linear regression of run times on estimates, in seconds.
type regression struct {
	runs, estimated, actual, estimatedSquare, product float64
}

// Record records a run's actual and estimated run times.
func (e *RunTimeEstimates) Record(queue string, actual, estimated time.Duration) {
	if actual <= 0 || estimated <= 0 {
		return
	}

	if e.regressions == nil {
		e.regressions = make(map[string]*regression)
	}

	r, ok := e.regressions[queue]
	if !ok {
		r = &regression{}
		e.regressions[queue] = r
	}

	x, y := estimated.Seconds(), actual.Seconds()
	r.runs = historyDecay*r.runs + 1
	r.estimated = historyDecay*r.estimated + x
	r.actual = historyDecay*r.actual + y
	r.estimatedSquare = historyDecay*r.estimatedSquare + x*x
	r.product = historyDecay*r.product + x*y
}

// Queues returns the queues with a history, sorted.
func (e *RunTimeEstimates) Queues() []string {
	return slices.Sorted(maps.Keys(e.regressions))
}

// History returns the sums of a queue's history, or nil if there is none.
func (e *RunTimeEstimates) History(queue string) []float64 {
	r, ok := e.regressions[queue]
	if !ok {
		return nil
	}

	return []float64{r.runs, r.estimated, r.actual, r.estimatedSquare, r.product}
}

// Restore sets a queue's history to what History returned. Sums that make no sense are ignored.
func (e *RunTimeEstimates) Restore(queue string, sums []float64) {
	if len(sums) != historySums || slices.ContainsFunc(sums, func(sum float64) bool { return !(sum > 0) }) {
		return
	}

	if e.regressions == nil {
		e.regressions = make(map[string]*regression)
	}

	e.regressions[queue] = &regression{
		runs: sums[0], estimated: sums[1], actual: sums[2], estimatedSquare: sums[3], product: sums[4],
	}
}

// HasHistory reports whether enough runs of the queue were observed to rate workers by their run times.
func (e *RunTimeEstimates) HasHistory(queue string) bool {
	r, ok := e.regressions[queue]

	return ok && r.runs > minHistoryRuns
}

// Correct returns the expected run time of a run, given its estimate.
func (e *RunTimeEstimates) Correct(queue string, estimated time.Duration) time.Duration {
	r, ok := e.regressions[queue]
	if !ok || estimated <= 0 {
		return estimated
	}

	confidence := r.runs / (r.runs + estimateWeight)
	seconds := confidence*r.predict(estimated.Seconds()) + (1-confidence)*estimated.Seconds()

	return time.Duration(seconds * float64(time.Second))
}

// predict returns the expected run time for an estimate: a linear regression, regularized towards
// a constant factor where the estimates hardly differ.
func (r *regression) predict(estimate float64) float64 {
	meanEstimate, meanActual := r.estimated/r.runs, r.actual/r.runs
	variance := max(0, r.estimatedSquare/r.runs-meanEstimate*meanEstimate)
	covariance := r.product/r.runs - meanEstimate*meanActual
	penalty := regularization * meanEstimate * meanEstimate
	slope := max(0, (covariance+penalty*meanActual/meanEstimate)/(variance+penalty))

	return max(minShareOfMean*meanActual, meanActual+slope*(estimate-meanEstimate))
}
