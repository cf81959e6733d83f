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
	// provenAfter is how long a task must be at work on a worker on probation to prove it: as long as the first quarantine,
	// for which the worker was not tried.
	provenAfter = initialQuarantine
	// failureRateWeight is the weight of the newest run in the moving average of a queue's failure rate.
	failureRateWeight = 0.05
)

// WorkerHealth is the evidence that one worker is faulty; its zero value is that of a healthy worker.
// It detects workers that fail every run while they report that they are healthy, and must not
// be misled by jobs that fail on any worker.
type WorkerHealth struct {
	evidence         float64
	failedJobs       []string
	quarantines      int
	quarantinedUntil time.Time
	// triesFrom is when the worker may be tried for the first time since it was quarantined, and nextTry when again after the
	// last failure.
	triesFrom time.Time
	nextTry   time.Time
}

// RecordSuccess records a successful run, which clears the evidence.
func (h *WorkerHealth) RecordSuccess() {
	*h = WorkerHealth{}
}

// RecordFailure records a failed run of a job as evidence of the given weight. Several failures of
// one job count once.
func (h *WorkerHealth) RecordFailure(job string, weight float64, now time.Time) {
	if slices.Contains(h.failedJobs, job) {
		return
	}

	h.failedJobs = append(h.failedJobs, job)
	h.evidence += weight

	if h.evidence >= quarantineThreshold {
		h.Quarantine(now)
	}
}

// Quarantine quarantines the worker. After the quarantine, a single failure of full weight starts
// the next one.
func (h *WorkerHealth) Quarantine(now time.Time) {
	h.evidence = quarantineThreshold - 1
	h.failedJobs = nil
	h.nextTry = now.Add(initialQuarantine)

	if now.Before(h.quarantinedUntil) {
		return
	}

	h.triesFrom = h.nextTry

	h.quarantinedUntil = now.Add(min(maxQuarantine, initialQuarantine<<min(h.quarantines, maxQuarantineDoublings)))
	h.quarantines++
}

// Schedulable reports whether the worker is not quarantined.
func (h *WorkerHealth) Schedulable(now time.Time) bool {
	return !now.Before(h.quarantinedUntil)
}

// OnProbation reports whether the worker may be given only one task at a time, because it has been
// quarantined and no run has succeeded since.
func (h *WorkerHealth) OnProbation() bool {
	return h.quarantines > 0
}

// Tries reports whether a run that was placed at the given time shows whether a worker on probation still fails: one from
// before the quarantine does not.
func (h *WorkerHealth) Tries(placedAt time.Time) bool {
	return h.OnProbation() && !placedAt.Before(h.triesFrom)
}

// MayTry reports whether a worker on probation may be tried by a job that has no other room, also while it is quarantined:
// the longer quarantines are for work that can run elsewhere.
func (h *WorkerHealth) MayTry(now time.Time) bool {
	return h.OnProbation() && !now.Before(h.nextTry)
}

// DelayTry records that a run on a worker on probation has failed, whatever that says about the worker.
func (h *WorkerHealth) DelayTry(now time.Time) {
	h.nextTry = now.Add(initialQuarantine)
}

// Proves reports whether a run that was placed at the given time, and has been at work for the given time, shows that a
// worker on probation may be given more.
func (h *WorkerHealth) Proves(placedAt time.Time, atWork time.Duration) bool {
	return h.Tries(placedAt) && atWork >= provenAfter
}

// RecordAtWork records that a long-running run, which never succeeds, has been at work for the given time. It clears the
// evidence if the run was placed on probation.
func (h *WorkerHealth) RecordAtWork(placedAt time.Time, atWork time.Duration) {
	if h.Proves(placedAt, atWork) {
		h.RecordSuccess()
	}
}

// FailureRates holds the failure rate of each queue's runs as an exponential moving average; its zero value
// is ready for use.
type FailureRates struct {
	byQueue map[string]float64
}

// Record records the result of a run.
func (r *FailureRates) Record(queue string, failed bool) {
	if r.byQueue == nil {
		r.byQueue = make(map[string]float64)
	}

	sample := 0.0
	if failed {
		sample = 1
	}

	r.byQueue[queue] += failureRateWeight * (sample - r.byQueue[queue])
}

// Rate returns the failure rate of a queue's runs, or 0 if none is known.
func (r *FailureRates) Rate(queue string) float64 {
	return r.byQueue[queue]
}

// Restore sets the failure rate of a queue's runs.
func (r *FailureRates) Restore(queue string, rate float64) {
	if r.byQueue == nil {
		r.byQueue = make(map[string]float64)
	}

	r.byQueue[queue] = rate
}

// FailureWeight returns how strongly a failed run of the queue indicates a fault of its worker: weakly if
// many runs of the queue fail.
func (r *FailureRates) FailureWeight(queue string) float64 {
	return 1 - r.byQueue[queue]
}
