package lead

import (
	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TenantSummary is what a tenant of the setup in force uses and waits for, for metrics.
type TenantSummary struct {
	Name   string
	Weight float64
	// Running is what the tenant's runs take, as its limit counts it. In Limit, 0 is no limit.
	Running mill.Resources
	Limit   mill.Resources
	// WaitingJobs counts the unfinished jobs that have nothing running.
	WaitingJobs int
}

// TenantSummaries returns what each tenant of the setup in force uses, in the order of the setup; nil without tenants.
func (s *Scheduler) TenantSummaries(state *jobs.State) []TenantSummary {
	setup := state.Setup()
	if setup == nil || len(setup.Tenants) == 0 {
		return nil
	}

	summaries := make([]TenantSummary, 0, len(setup.Tenants))
	positions := make(map[string]int, len(setup.Tenants))

	for i := range setup.Tenants {
		tenant := &setup.Tenants[i]
		if _, listed := positions[tenant.Name]; listed {
			continue // Tenants with one name are one, with the weight and limit of the first.
		}

		summary := TenantSummary{Name: tenant.Name, Weight: tenant.Weight, Limit: tenant.MaxRunning}
		if use, ok := s.tenants[tenant.Name]; ok {
			summary.Running = use.running
		}

		positions[tenant.Name] = len(summaries)
		summaries = append(summaries, summary)
	}

	for _, job := range state.OpenJobs() {
		if at, ok := positions[job.Tenant]; ok && job.Waits() {
			summaries[at].WaitingJobs++
		}
	}

	return summaries
}
