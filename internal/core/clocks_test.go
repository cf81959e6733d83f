package core

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMedianOfClocks expects a jump of this VM's time of day, or of a few others', not to matter.
func TestMedianOfClocks(t *testing.T) {
	var c clocks

	now := time.Now()
	assert.Equal(t, c.wallMilli(now), now.UnixMilli())

	for i := range 4 {
		c.observe(fmt.Sprint("vm", i), now.UnixMilli()+5000, now)
	}

	assert.Equal(t, c.wallMilli(now), now.UnixMilli()+5000, "this VM's clock is the one that has jumped")

	c.observe("vm4", now.UnixMilli()-90000, now)
	assert.Equal(t, c.wallMilli(now), now.UnixMilli()+5000)

	later := now.Add(2 * clockAge)
	assert.Equal(t, c.wallMilli(later), later.UnixMilli(), "old readings do not count")
}
