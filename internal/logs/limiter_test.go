package logs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimiter guards against callers that fill the log, and against lines that hide how many were left out.
func TestLimiter(t *testing.T) {
	var (
		limiter Limiter
		start   = time.Now()
	)

	for at, want := range []bool{true, false, false, true, false} {
		skipped, ok := limiter.Allow(start.Add(time.Duration(at)*time.Second), 3*time.Second)
		assert.Equal(t, ok, want, "after %d s", at)

		if ok && at > 0 {
			assert.Equal(t, skipped, 2)
		}
	}
}
