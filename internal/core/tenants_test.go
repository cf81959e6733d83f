package core

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestTenantStatuses checks that the use of a tenant holds each of its placed runs once, and that jobs of others and keys
// that are listed twice do not count.
func TestTenantStatuses(t *testing.T) {
	state := jobs.NewState()
	limit := mill.Resources{MilliCores: 4000}
	setup := &mill.Setup{
		Version: 1, Queues: []mill.Queue{{Name: "q", Service: "s"}}, Services: []mill.Service{{Name: "s"}},
		Tenants: []mill.Tenant{
			{Name: "a", Keys: []mill.APIKey{"k", "k"}, Weight: 2, MaxRunning: limit},
			{Name: "b"},
			{Name: "a", Keys: []mill.APIKey{"l"}, Weight: 9},
		},
	}
	work := mill.Workload{Steps: []mill.Step{{Count: 3, PerTask: mill.Resources{MilliCores: 500, MemoryMiB: 64}}}}
	task := mill.StepID{Job: "running"}.Task(1)

	for _, command := range []jobs.Command{
		{Setup: setup},
		{Submit: &jobs.Submit{Job: "running", Queue: "q", Work: work, Tenant: "a"}},
		{Submit: &jobs.Submit{Job: "waiting", Queue: "q", Work: work, Tenant: "a"}},
		{Submit: &jobs.Submit{Job: "other", Queue: "q", Work: work, Tenant: "removed"}},
		{Place: &jobs.Place{Task: task, Run: 1, Worker: "w"}},
		{Place: &jobs.Place{Task: mill.StepID{Job: "running"}.Task(2), Run: 1, Worker: "w"}},
		{Finish: &jobs.Finish{Task: task, Run: 1, Cause: mill.FinishDone}},
	} {
		assert.Equal(t, state.Apply(&command), jobs.ResultApplied)
	}

	assert.DeepEqual(t, tenantStatuses(setup, state.OpenJobs()), []TenantStatus{
		{
			Name: "a", Weight: 2, Keys: 2, Limit: limit, Running: mill.Resources{MilliCores: 500, MemoryMiB: 64}, Waiting: 1,
		},
		{Name: "b"},
	})
}
