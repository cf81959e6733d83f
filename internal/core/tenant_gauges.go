package core

import (
	"cmp"
	"slices"

	"github.com/cranberrymill/cranberrymill/internal/lead"
	"github.com/cranberrymill/cranberrymill/internal/meter"
)

// NewTenantTable adds the gauges of the tenants to the metrics of a process.
func NewTenantTable(m *meter.Meter) *meter.Table {
	return m.NewTable("tenant",
		meter.Column{Name: "tenant_running_millicores", Help: "What the tenant's runs take, as its limit counts it."},
		meter.Column{Name: "tenant_limit_millicores", Help: "What they may take; 0 is no limit."},
		meter.Column{Name: "tenant_waiting_jobs", Help: "Unfinished jobs that have nothing running."},
		meter.Column{Name: "tenant_refused_submissions", Help: "Jobs refused by this process since it started."},
	)
}

// reportTenants replaces the gauges of the tenants.
func (c *Core) reportTenants(summaries []lead.TenantSummary) {
	c.config.TenantTable.Set(tenantRows(summaries, c.callMetrics.refusals))
}

// tenantRows returns a row for each tenant, of which those with the highest weights have their own name.
func tenantRows(summaries []lead.TenantSummary, refusals func(tenant string) int64) []meter.Row {
	sorted := slices.Clone(summaries)
	slices.SortStableFunc(sorted, func(a, b lead.TenantSummary) int { return cmp.Compare(b.Weight, a.Weight) })

	rows := make([]meter.Row, 0, len(sorted))

	for i := range sorted {
		s := &sorted[i]

		label := s.Name
		if i >= maxNamedTenants {
			label = otherTenants
		}

		rows = append(rows, meter.Row{Label: label, Values: []float64{
			float64(s.Running.MilliCores), float64(s.Limit.MilliCores), float64(s.WaitingJobs), float64(refusals(s.Name)),
		}})
	}

	return rows
}
