package core

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/lead"
	"github.com/cranberrymill/cranberrymill/internal/meter"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestTenantRows guards against time series that grow with the number of tenants, against large tenants that are summed up
// with others, and against refusals that are lost for tenants without a counter of their own.
func TestTenantRows(t *testing.T) {
	const tenants = 430

	m := newCallMetrics(nil)
	summaries := make([]lead.TenantSummary, 0, tenants)

	for i := range tenants {
		name := fmt.Sprint("tenant", i)
		summaries = append(summaries, lead.TenantSummary{
			Name: name, Weight: float64(i), Running: mill.Resources{MilliCores: 1000}, WaitingJobs: 2,
		})
		m.recordSubmission(name, false)
	}

	rows := tenantRows(summaries, m.refusals)
	assert.Equal(t, len(rows), tenants)
	assert.DeepEqual(t, rows[0], meter.Row{Label: "tenant429", Values: []float64{1000, 0, 2, 1}})

	labels := make(map[string]int)
	for _, row := range rows {
		labels[row.Label]++
	}

	assert.Equal(t, len(labels), maxNamedTenants+1)
	assert.Equal(t, labels[otherTenants], tenants-maxNamedTenants)
}
