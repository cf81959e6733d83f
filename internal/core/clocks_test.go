package core

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMedianOfClocks checks that a jump of this VM's wall clock, or of a few others', has no effect.
func TestMedianOfClocks(t *testing.T) {
	var c peerClocks

	now := time.Now()
	assert.Equal(t, c.medianUnixMilli(now), now.UnixMilli())

	for i := range 4 {
		c.observe(fmt.Sprint("vm", i), now.UnixMilli()+5000, now)
	}

	assert.Equal(t, c.medianUnixMilli(now), now.UnixMilli()+5000, "this VM's clock is the one that has jumped")

	c.observe("vm4", now.UnixMilli()-90000, now)
	assert.Equal(t, c.medianUnixMilli(now), now.UnixMilli()+5000)

	later := now.Add(2 * offsetMaxAge)
	assert.Equal(t, c.medianUnixMilli(later), later.UnixMilli(), "expired offsets are ignored")
}
