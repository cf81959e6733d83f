package plan

import (
	"slices"
	"time"
)

const (
	// quarantineThreshold is the evidence at which a worker is quarantined: three consecutive
	// failed runs of different jobs, in a queue whose runs hardly ever fail. Up to a tenth of
	// a job's runs fail for reasons of its own, so this is rare by chance.
	quarantineThreshold = 2.5
	// initialQuarantine is the length of the first quarantine; each further one is twice as long.
	initialQuarantine = 2 * time.Second
	// maxQuarantine limits a quarantine, so that a worker that has recovered is used again.
	maxQuarantine = 16 * time.Second
	// maxQuarantineDoublings limits the shift of initialQuarantine.
	maxQuarantineDoublings = 8
	// failureRateWeight is the weight of the newest run in the moving average of a queue's failure rate.
	failureRateWeight = 0.05
)

// Record is the evidence that one worker is faulty; its zero value is that of a healthy worker.
// It detects workers that fail every run while they report that they are healthy, and must not
// be misled by jobs that fail on any worker.
type Record struct {
	evidence         float64
	failedJobs       []string
	quarantines      int
	quarantinedUntil time.Time
}

// Succeeded records a successful run, which clears the evidence.
func (r *Record) Succeeded() {
	*r = Record{}
}

// Failed records a failed run of a job as evidence of the given weight. Several failures of
// one job count once.
func (r *Record) Failed(job string, weight float64, now time.Time) {
	if slices.Contains(r.failedJobs, job) {
		return
	}

	r.failedJobs = append(r.failedJobs, job)
	r.evidence += weight

	if r.evidence >= quarantineThreshold {
		r.HoldBack(now)
	}
}

// HoldBack quarantines the worker. After the quarantine, a single failure of full weight starts
// the next one.
func (r *Record) HoldBack(now time.Time) {
	r.evidence = quarantineThreshold - 1
	r.failedJobs = nil

	if now.Before(r.quarantinedUntil) {
		return
	}

	r.quarantinedUntil = now.Add(min(maxQuarantine, initialQuarantine<<min(r.quarantines, maxQuarantineDoublings)))
	r.quarantines++
}

// Trusted reports whether the worker is not quarantined.
func (r *Record) Trusted(now time.Time) bool {
	return !now.Before(r.quarantinedUntil)
}

// OnTrial reports whether the worker may run only one task at a time, because it has been
// quarantined and no run has succeeded since.
func (r *Record) OnTrial() bool {
	return r.quarantines > 0
}

// Rates holds the failure rate of each queue's runs as an exponential moving average; its zero value
// is ready for use.
type Rates struct {
	byQueue map[string]float64
}

// Learn records the result of a run.
func (r *Rates) Learn(queue string, failed bool) {
	if r.byQueue == nil {
		r.byQueue = make(map[string]float64)
	}

	sample := 0.0
	if failed {
		sample = 1
	}

	r.byQueue[queue] += failureRateWeight * (sample - r.byQueue[queue])
}

// Weight returns how strongly a failed run of the queue indicates a fault of its worker: weakly if
// many runs of the queue fail.
func (r *Rates) Weight(queue string) float64 {
	return 1 - r.byQueue[queue]
}
