package core

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestTenantMetricsAreBounded guards against a setup whose tenants make the metrics grow without bound.
func TestTenantMetricsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newCallMetrics(scope)

	for i := range 2 * maxNamedTenants {
		m.recordSubmission(fmt.Sprint("tenant", i), i%2 == 0)
	}

	m.recordSubmission("", true)
	m.recordDenial("state", mill.ErrForbidden)
	m.recordDenial("state", mill.ErrUnavailable)

	counted := scope.Snapshot().Counters()
	assert.Equal(t, counted["tenant_submissions+tenant=other,verdict=accepted"].Value(), int64(maxNamedTenants/2))
	assert.Equal(t, counted["calls_denied+reason=forbidden"].Value(), int64(1))
	assert.Equal(t, len(m.tenants), maxNamedTenants+1)
	assert.DeepEqual(t, m.submissions("tenant1"), SubmissionCounts{Refused: 1})
}
