package core

import (
	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TenantList describes the tenants of the setup in force, as one core process knows it. It holds no keys.
type TenantList struct {
	// Leading means that this process leads: only the leader decides submissions, and so counts them.
	Leading bool   `json:"leading"`
	Version uint64 `json:"version"`
	// Tenants are in the order of the setup.
	Tenants []TenantStatus `json:"tenants"`
}

// TenantStatus is a tenant with its limit and its use.
type TenantStatus struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	// Keys is the number of the tenant's keys.
	Keys int `json:"keys"`
	// Limit is what the tenant's running tasks may take together; 0 is no limit. Running is what they take, as the limit counts
	// it: a best-effort task with all its cores.
	Limit   mill.Resources `json:"limit"`
	Running mill.Resources `json:"running"`
	// Waiting is the number of unfinished jobs that have nothing running.
	Waiting int `json:"waiting"`
	// Submissions are those that this process has decided.
	Submissions SubmissionCounts `json:"submissions"`
}

// Tenants returns the tenants with their use, from what this process knows to be committed.
func (c *Core) Tenants() *TenantList {
	list := &TenantList{Leading: c.leadingRunner() != nil, Tenants: []TenantStatus{}}

	c.stateMachine.view(func(state *jobs.State) {
		if setup := state.Setup(); setup != nil {
			list.Version = setup.Version
			list.Tenants = tenantStatuses(setup, state.OpenJobs())
		}
	})

	for i := range list.Tenants {
		list.Tenants[i].Submissions = c.callMetrics.submissions(list.Tenants[i].Name)
	}

	return list
}

func tenantStatuses(setup *mill.Setup, open map[string]*jobs.Job) []TenantStatus {
	var (
		statuses = make([]TenantStatus, 0, len(setup.Tenants))
		byName   = make(map[string]int, len(setup.Tenants))
		keys     = make(map[mill.APIKey]bool)
	)

	for i := range setup.Tenants {
		tenant := &setup.Tenants[i]

		at, ok := byName[tenant.Name]
		if !ok {
			at = len(statuses)
			byName[tenant.Name] = at
			statuses = append(statuses, TenantStatus{Name: tenant.Name, Weight: tenant.Weight, Limit: tenant.MaxRunning})
		}

		for _, key := range tenant.Keys {
			if key != "" && !keys[key] {
				keys[key] = true
				statuses[at].Keys++
			}
		}
	}

	for _, job := range open {
		if at, ok := byName[job.Tenant]; ok {
			statuses[at].addJob(job)
		}
	}

	return statuses
}

func (s *TenantStatus) addJob(job *jobs.Job) {
	if job.Waits() {
		s.Waiting++
	}

	for _, occurrence := range job.Occurrences {
		for i := range occurrence.Steps {
			s.Running = s.Running.Add(job.Work.Steps[i].PerTask.Times(occurrence.Steps[i].Placed))
		}
	}
}
