package lead

import "time"

// clock estimates a worker's monotonic clock: at observedAt it showed at least milli.
type clock struct {
	milli      int64
	observedAt time.Time
}

// observe records a value that was read at the given time or earlier.
func (c *clock) observe(milli int64, at time.Time) {
	if milli > 0 {
		c.milli, c.observedAt = milli, at
	}
}

// maxReportDelay is how long a report takes on its way to the scheduler, unless it was held up.
const maxReportDelay = 500 * time.Millisecond

// outdated reports whether a value in a report should be observed: no other is known, or only one that is not recent,
// and the report was not held up.
func (c *clock) outdated(milli int64, at time.Time) bool {
	return !c.known() || at.Sub(c.observedAt) > time.Second && milli > c.lowerBound(at)-maxReportDelay.Milliseconds()
}

func (c *clock) known() bool {
	return !c.observedAt.IsZero()
}

// estimate returns the value at a time, if the clock does not drift.
func (c *clock) estimate(at time.Time) int64 {
	return c.milli + at.Sub(c.observedAt).Milliseconds()
}

// lowerBound returns the least value that the clock can show at a time, if it runs as slow as
// clockDrift allows.
func (c *clock) lowerBound(at time.Time) int64 {
	return c.milli + int64(float64(at.Sub(c.observedAt).Milliseconds())*(1-clockDrift))
}
