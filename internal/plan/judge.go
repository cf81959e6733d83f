package plan

import (
	"slices"
	"time"
)

const (
	// suspectScore is how much evidence holds a worker back: three failed runs in a
	// row of different jobs of a queue that hardly fails. Jobs fail up to a tenth of
	// their runs by themselves, so that is rare by chance.
	suspectScore = 2.5
	// holdBackFirst is how long the first hold-back lasts; each further one is twice as long.
	holdBackFirst = 2 * time.Second
	// holdBackMost bounds a hold-back, so that a worker that has recovered is found again.
	holdBackMost = 16 * time.Second
	// holdBackDoublings bounds the doubling.
	holdBackDoublings = 8
	// rateWeight is the share of the newest run in a queue's rate of failure.
	rateWeight = 0.05
)

// Record is the evidence on one worker; its zero value is that of a sound one.
// It answers workers that fail all they start while they say that they are well,
// and must not be misled by jobs that fail wherever they run.
type Record struct {
	score float64
	jobs  []string
	holds int
	until time.Time
}

// Succeeded takes note of a run that ended done.
func (r *Record) Succeeded() {
	*r = Record{}
}

// Failed takes note of a failed run of a job, with the weight of that evidence.
// Several failures of one job count once.
func (r *Record) Failed(job string, weight float64, now time.Time) {
	if slices.Contains(r.jobs, job) {
		return
	}

	r.jobs = append(r.jobs, job)
	r.score += weight

	if r.score >= suspectScore {
		r.HoldBack(now)
	}
}

// HoldBack keeps new work away for a while. Afterwards one more failure is enough.
func (r *Record) HoldBack(now time.Time) {
	r.score = suspectScore - 1
	r.jobs = nil

	if now.Before(r.until) {
		return
	}

	r.until = now.Add(min(holdBackMost, holdBackFirst<<min(r.holds, holdBackDoublings)))
	r.holds++
}

// Trusted reports whether the worker may be given work.
func (r *Record) Trusted(now time.Time) bool {
	return !now.Before(r.until)
}

// OnTrial reports whether the worker may be given one task only, since it failed lately.
func (r *Record) OnTrial() bool {
	return r.holds > 0
}

// Rates follows how often the runs of each queue fail; its zero value is ready.
type Rates struct {
	failed map[string]float64
}

// Learn takes note of a run's end.
func (r *Rates) Learn(queue string, failed bool) {
	if r.failed == nil {
		r.failed = make(map[string]float64)
	}

	seen := 0.0
	if failed {
		seen = 1
	}

	r.failed[queue] += rateWeight * (seen - r.failed[queue])
}

// Weight is what a failed run of the queue says of the worker that it ran on:
// little, if runs of the queue fail everywhere.
func (r *Rates) Weight(queue string) float64 {
	return 1 - r.failed[queue]
}
