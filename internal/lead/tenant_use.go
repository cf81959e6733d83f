package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// tenantUse is what the runs of one tenant take on all workers together, and its limit on that.
type tenantUse struct {
	// runs counts the runs that are active or may be, or are being placed, and running is what they take. A best-effort task
	// counts with its cores, which it reserves on no worker.
	runs    int
	running mill.Resources
	// named says that the setup in force at the last plan names the tenant. limit and weight are those of that setup, and zero
	// if it does not. In a limit, 0 is no limit.
	named  bool
	limit  mill.Resources
	weight float64
	// level is how well the tenant was served when the last plan began.
	level plan.ServiceLevel
	// reserved is what the current plan keeps for tasks that wait for capacity or advice.
	reserved mill.Resources
}

// addRun adds a run that is active or is being placed.
func (s *Scheduler) addRun(r *run) {
	if _, known := s.runs[r.task]; !known {
		s.runsByJob[r.task.Job]++
	}

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
	if _, known := s.runs[r.task]; known {
		s.runsByJob[r.task.Job]--

		if s.runsByJob[r.task.Job] == 0 {
			delete(s.runsByJob, r.task.Job)
		}
	}

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
		use = &tenantUse{}
		use.configure(s.setupIndex.Tenant(name))
		use.level = use.levelAmong(&s.shares)
		s.tenants[name] = use
	}

	return use
}

// tenantOf returns what the runs of a job's tenant take, or nil for a job without a tenant.
func (s *Scheduler) tenantOf(job *jobs.Job) *tenantUse {
	if job.Tenant == "" {
		return nil
	}

	return s.tenant(job.Tenant)
}

// configure applies the setup in force, which may not name the tenant.
func (u *tenantUse) configure(tenant *mill.Tenant, named bool) {
	u.named = named
	u.limit, u.weight = mill.Resources{}, 0

	if named {
		u.limit, u.weight = tenant.MaxRunning, tenant.Weight
	}
}

// levelAmong returns how well the tenant is served. One that the setup does not name competes with nobody.
func (u *tenantUse) levelAmong(shares *plan.TenantShares) plan.ServiceLevel {
	if !u.named {
		return plan.LevelEven
	}

	return shares.Level(plan.TenantLoad(u.running), u.weight)
}

// levelOf returns how well the tenant of a step's job is served if the step's service was saturated at the last plan: where
// there is room, nobody has to make any.
func (s *Scheduler) levelOf(c *candidate) plan.ServiceLevel {
	if c.tenant == nil || !s.saturation.at(c.queue.Service, s.plannedAt) {
		return plan.LevelEven
	}

	return c.tenant.level
}

// updateTenants applies the limits and weights of the setup in force, ends the reservations of the last plan, and drops the
// tenants of which nothing runs.
func (s *Scheduler) updateTenants(index *mill.SetupIndex) {
	changed := s.setupIndex != index
	s.setupIndex = index
	s.shares = plan.TenantShares{}

	for name, use := range s.tenants {
		if use.runs == 0 {
			delete(s.tenants, name)

			continue
		}

		if changed {
			use.configure(index.Tenant(name))
		}

		use.reserved = mill.Resources{}
		s.shares.Add(plan.TenantLoad(use.running), use.weight)
	}

	for _, use := range s.tenants {
		use.level = use.levelAmong(&s.shares)
	}
}

// cutToLimit withholds the tasks that the limit of the step's tenant does not let start beside its runs and what the plan
// keeps for earlier steps: a gang as a whole.
func (c *candidate) cutToLimit() {
	if c.tenant != nil {
		limit := plan.LimitFor(&c.urgency, c.tenant.limit, c.step.PerTask.Times(c.together()))
		c.cutBeside(c.tenant.running.Add(c.tenant.reserved), limit)
	}
}

// cutToRuns is cutToLimit without regard to what the plan keeps for other steps.
func (c *candidate) cutToRuns() {
	if c.tenant != nil {
		c.cutBeside(c.tenant.running, c.tenant.limit)
	}
}

// limitCut is the cut that was made last, so that it is not made again.
type limitCut struct {
	done        bool
	used, limit mill.Resources
}

// cutBeside withholds the tasks that a limit does not let start beside what is used of it.
func (c *candidate) cutBeside(used, limit mill.Resources) {
	if limit == (mill.Resources{}) || c.cut == (limitCut{done: true, used: used, limit: limit}) {
		return
	}

	c.cut = limitCut{done: true, used: used, limit: limit}
	c.waiting = append(c.waiting, c.withheld...)
	count := plan.TasksWithinLimit(used, limit, c.step.PerTask, len(c.waiting), c.step.Gang)
	c.waiting, c.withheld = c.waiting[:count], c.waiting[count:]
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

			c.idleSince = time.Time{}
		}
	}
}
