package lead

import "time"

// clock is what is known of a worker's steady clock: at a time it showed at least a value.
type clock struct {
	milli int64
	at    time.Time
}

// observe takes note of a value that was read no later than a time.
func (c *clock) observe(milli int64, at time.Time) {
	if milli > 0 {
		c.milli, c.at = milli, at
	}
}

func (c *clock) known() bool {
	return !c.at.IsZero()
}

// estimate returns what the clock shows at a time, if it runs true.
func (c *clock) estimate(at time.Time) int64 {
	return c.milli + at.Sub(c.at).Milliseconds()
}

// least returns what the clock shows at the least, if it is as slow as a clock may be.
func (c *clock) least(at time.Time) int64 {
	return c.milli + int64(float64(at.Sub(c.at).Milliseconds())*(1-clockDrift))
}
