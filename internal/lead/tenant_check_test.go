package lead

import (
	"fmt"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/oracle"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// simApplyTime is how long an earlier setup may still be in force.
	simApplyTime = 3 * time.Second
	// simOrderLife is how long a start order that is on its way can be carried out: until its lease has expired.
	simOrderLife = simMaxLease + time.Second
)

// tenantCheck checks what the tenants of a simulation have running on all executors.
type tenantCheck struct {
	sim    *simulation
	limits oracle.TenantLimits
}

// running returns what a tenant's runs take, with the cores of best-effort tasks.
func (c *tenantCheck) running(tenant string) mill.Resources {
	var sum mill.Resources

	for _, e := range c.sim.executors {
		for task, a := range e.running {
			if c.sim.specs[task.Job].tenant == tenant {
				sum = sum.Add(a.step.PerTask)
			}
		}
	}

	return sum
}

// checkStart checks that a start has not brought what its tenant has running above the highest limit that may be in force.
func (c *tenantCheck) checkStart(task mill.TaskID, late bool) {
	tenant := c.sim.specs[task.Job].tenant
	if tenant == "" {
		return
	}

	since := c.sim.now.Add(-simApplyTime)
	if late {
		since = since.Add(-simOrderLife)
	}

	if running := c.running(tenant); !c.limits.Allow(tenant, running, since) {
		c.sim.t.Fatalf("%s: starting %s brings %s to %+v\n%s", c.sim.elapsed(), task, tenant, running,
			c.sim.explain(task.Job))
	}
}

// owesStart reports whether a job that has nothing running should start as far as its tenant is concerned: the tenant has
// less than half of its limit running, and what starts together is within the other half.
func (c *tenantCheck) owesStart(id mill.StepID, step *mill.Step) bool {
	tenant := c.sim.specs[id.Job].tenant
	sum := c.running(tenant).Add(c.running(tenant))
	together := 1

	if step.Gang {
		together = step.Count
	}

	for range simRoomFactor * together {
		sum = sum.Add(step.PerTask)
	}

	return tenant == "" || c.limits.Allow(tenant, sum, c.sim.now)
}

// checkUse compares what the scheduler keeps for each tenant with the sum over its runs.
func (c *tenantCheck) checkUse(s *Scheduler) {
	want := make(map[string]tenantUse)

	for _, r := range s.runs {
		if r.tenant != c.sim.specs[r.task.Job].tenant {
			c.sim.t.Fatalf("%s: the run of %s counts for %q", c.sim.elapsed(), r.task, r.tenant)
		}

		use := want[r.tenant]
		use.runs++
		use.running = use.running.Add(r.step.PerTask)
		want[r.tenant] = use
	}

	delete(want, "")

	for name, use := range s.tenants {
		if use.runs != want[name].runs || use.running != want[name].running {
			c.sim.t.Fatalf("%s: %s counts %d runs with %+v instead of %+v", c.sim.elapsed(), name, use.runs, use.running,
				want[name])
		}

		delete(want, name)
	}

	if len(want) > 0 {
		c.sim.t.Fatalf("%s: the scheduler lacks the use of %v", c.sim.elapsed(), fmt.Sprint(want))
	}
}
