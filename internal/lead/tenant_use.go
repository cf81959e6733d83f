package lead

import (
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// tenantUse is what the runs of one tenant take on all workers together, and its limit on that.
type tenantUse struct {
	// runs counts the runs that are active or may be, or are being placed, and running is what they take. A best-effort task
	// counts with its cores, which it reserves on no worker.
	runs    int
	running mill.Resources
	// limit is that of the setup in force at the last plan, in which 0 is no limit; it is zero if the setup does not name the
	// tenant.
	limit mill.Resources
	// reserved is what the current plan keeps for tasks that wait for capacity or advice.
	reserved mill.Resources
}

// addRun adds a run that is active or is being placed.
func (s *Scheduler) addRun(r *run) {
	s.runs[r.task] = r
	r.worker.add(r)

	if r.tenant != "" {
		use := s.tenant(r.tenant)
		use.runs++
		use.running = use.running.Add(r.step.PerTask)
	}
}

// forgetRun deletes a run whose end is committed, or which was not placed.
func (s *Scheduler) forgetRun(r *run) {
	delete(s.runs, r.task)

	if r.tenant != "" {
		use := s.tenant(r.tenant)
		use.runs--
		use.running = use.running.Sub(r.step.PerTask)
	}
}

// tenant returns what a tenant's runs take.
func (s *Scheduler) tenant(name string) *tenantUse {
	use, ok := s.tenants[name]
	if !ok {
		use = &tenantUse{limit: s.limitOf(name)}
		s.tenants[name] = use
	}

	return use
}

// tenantOf returns what the runs of a job's tenant take, or nil for a job without a tenant.
func (s *Scheduler) tenantOf(name string) *tenantUse {
	if name == "" {
		return nil
	}

	return s.tenant(name)
}

// limitOf returns a tenant's limit by the setup of the last plan.
func (s *Scheduler) limitOf(name string) mill.Resources {
	tenant, ok := s.setupIndex.Tenant(name)
	if !ok {
		return mill.Resources{}
	}

	return tenant.MaxRunning
}

// updateTenants applies the limits of the setup in force, ends the reservations of the last plan, and drops the tenants of
// which nothing runs.
func (s *Scheduler) updateTenants(index *mill.SetupIndex) {
	s.setupIndex = index

	for name, use := range s.tenants {
		if use.runs == 0 {
			delete(s.tenants, name)

			continue
		}

		use.limit = s.limitOf(name)
		use.reserved = mill.Resources{}
	}
}

// cutToLimit withholds the tasks that the limit of the step's tenant does not let start beside its runs and what the plan
// keeps for earlier steps: a gang as a whole.
func (c *candidate) cutToLimit() {
	if c.tenant != nil {
		c.cutBeside(c.tenant.running.Add(c.tenant.reserved))
	}
}

// cutToRuns is cutToLimit without regard to what the plan keeps for other steps.
func (c *candidate) cutToRuns() {
	if c.tenant != nil {
		c.cutBeside(c.tenant.running)
	}
}

// cutBeside withholds the tasks that the limit does not let start beside what is used of it.
func (c *candidate) cutBeside(used mill.Resources) {
	if c.tenant.limit == (mill.Resources{}) {
		return
	}

	c.waiting = append(c.waiting, c.withheld...)
	count := plan.TasksWithinLimit(used, c.tenant.limit, c.step.PerTask, len(c.waiting), c.step.Gang)
	c.waiting, c.withheld = c.waiting[:count], c.waiting[count:]
}

// keepWithinLimit counts tasks for which the plan reserves capacity against the tenant's limit.
func (c *candidate) keepWithinLimit(tasks int) {
	if c.tenant == nil {
		return
	}

	for range tasks {
		c.tenant.reserved = c.tenant.reserved.Add(c.step.PerTask)
	}
}

// atLimit reports whether the limit of the step's tenant lets no task of it start.
func (c *candidate) atLimit() bool {
	return len(c.waiting) == 0 && len(c.withheld) > 0
}

// applyLimits withholds the tasks that cannot start after the plan because of their tenants' limits. A job that waits for
// that does not count as idle.
func (s *Scheduler) applyLimits(candidates []*candidate) {
	for _, c := range candidates {
		c.cutToRuns()

		if c.atLimit() {
			delete(s.idleSince, c.id)
		}
	}
}
