package front

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestSubmissionsAreCounted expects each verdict to be counted by its name.
func TestSubmissionsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	c := newCounters(scope)

	for verdict := range verdictNames {
		c.answered(verdict, time.Millisecond)
	}

	c.answered(mill.VerdictRefused, time.Millisecond)

	counted := scope.Snapshot().Counters()
	assert.Equal(t, counted["submissions+verdict=refused"].Value(), int64(2))
	assert.Equal(t, counted["submissions+verdict=accepted"].Value(), int64(1))
}
