package front

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestSubmissionsAreCounted checks that each verdict is counted under its label.
func TestSubmissionsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	c := newMetrics(scope)

	for verdict := range verdictLabels {
		c.recordSubmission(verdict, time.Millisecond)
	}

	c.recordSubmission(mill.VerdictRefused, time.Millisecond)

	counted := scope.Snapshot().Counters()
	assert.Equal(t, counted["submissions+verdict=refused"].Value(), int64(2))
	assert.Equal(t, counted["submissions+verdict=accepted"].Value(), int64(1))
}
