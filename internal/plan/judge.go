package plan

import "time"

const (
	// suspectFailures is the number of failed runs in a row after which a worker is
	// held back from. Jobs fail up to a tenth of their runs by themselves, so
	// three in a row by chance are rare.
	suspectFailures = 3
	// holdBackFirst is how long the first hold-back lasts; each further one is twice as long.
	holdBackFirst = 2 * time.Second
	// holdBackMost bounds a hold-back, so that a worker that has recovered is found again.
	holdBackMost = 16 * time.Second
)

// Record is the evidence on one worker; its zero value is that of a sound one.
// It answers workers that fail all they start while they say that they are well.
type Record struct {
	failures int
	holds    int
	until    time.Time
}

// Succeeded takes note of a run that ended done.
func (r *Record) Succeeded() {
	*r = Record{}
}

// Failed takes note of a run that failed or stood still.
func (r *Record) Failed(now time.Time) {
	r.failures++

	if r.failures < suspectFailures {
		return
	}

	r.HoldBack(now)
}

// HoldBack keeps new work away for a while.
func (r *Record) HoldBack(now time.Time) {
	if now.Before(r.until) {
		return
	}

	r.until = now.Add(min(holdBackMost, holdBackFirst<<min(r.holds, 8)))
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
