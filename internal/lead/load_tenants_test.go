package lead

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// loadTenants is how many tenants compete; the first loadLargeTenants each submit a sixth of all jobs, and the others
	// equal parts of the rest.
	loadTenants      = 20
	loadLargeTenants = 3
	loadLargePart    = 1.0 / 6
	// loadWeight is a tenant's weight as a multiple of the rate at which it usually submits.
	loadWeight = 2
	// loadBurst is by which factor all tenants submit more during the burst.
	loadBurst = 1.5
	// The burst lasts from loadBurstFrom on for loadBurstTime.
	loadBurstFrom = 8 * time.Second
	loadBurstTime = 6 * time.Second
)

// loadTenant is a tenant with what became of its jobs that count.
type loadTenant struct {
	mill.Tenant

	part                  float64
	inTime, late, refused int
}

func (t *loadTenant) record(inTime bool) {
	if inTime {
		t.inTime++
	} else {
		t.late++
	}
}

// inTimeShare returns the share of the accepted jobs that were in time.
func (t *loadTenant) inTimeShare() float64 {
	return float64(t.inTime) / float64(max(1, t.inTime+t.late))
}

// tenantLoad is a load simulation with tenants.
type tenantLoad struct {
	*loadSimulation

	tenants []*loadTenant
	meter   plan.ShareMeter
	// shares says that the tenants have weights, by which jobs are marked and refused.
	shares bool
	// random draws the tenants and the jobs of the burst, so that those that come without it stay the same.
	random *rand.Rand
	// flooding is the tenant whose job is being submitted because it submits more than usual; nil for others.
	flooding *loadTenant
}

func newTenantLoad(seed uint64, shares bool) *tenantLoad {
	l := &tenantLoad{loadSimulation: newLoadSimulation(seed), shares: shares, random: rand.New(rand.NewPCG(seed, 0))}
	setup := *l.state.Setup()
	setup.Version++

	total := 0.0
	for _, q := range l.queues {
		total += q.perSecond
	}

	for i := range loadTenants {
		t := &loadTenant{Tenant: mill.Tenant{Name: fmt.Sprintf("t%02d", i)}, part: loadLargePart}
		if i >= loadLargeTenants {
			t.part = (1 - loadLargeTenants*loadLargePart) / (loadTenants - loadLargeTenants)
		}

		if shares {
			t.Weight = loadWeight * total * t.part
		}

		l.tenants = append(l.tenants, t)
		setup.Tenants = append(setup.Tenants, t.Tenant)
	}

	l.state.Apply(&jobs.Command{Setup: &setup})
	l.admit = l.decide

	return l
}

// decide names the tenant of a submission, and refuses it as a leader does.
func (l *tenantLoad) decide(q *loadQueue, submit *jobs.Submit) (*loadTenant, bool) {
	t := l.flooding
	if t == nil {
		t = l.drawTenant()
	}

	submit.Tenant = t.Name

	if !l.shares {
		return t, true
	}

	var wait time.Duration

	l.meter.Configure(l.state.Setup())
	submit.BeyondShare, wait = l.meter.Take(t.Name, t.Weight, l.now)

	if submit.BeyondShare {
		if admit, _ := plan.AdmitBeyondShare(submit.Job, l.scheduler.saturation.lastsFor(q.Service, l.now), wait); !admit {
			t.refused++

			return t, false
		}
	}

	return t, true
}

func (l *tenantLoad) drawTenant() *loadTenant {
	at := l.random.Float64()

	for _, t := range l.tenants {
		if at -= t.part; at < 0 {
			return t
		}
	}

	return l.tenants[0]
}

// arriveBeside has more jobs arrive on a queue during the burst, at a multiple of its usual rate: those of one tenant, or of
// all if it is nil.
func (l *tenantLoad) arriveBeside(q *loadQueue, multiple float64, tenant *loadTenant) {
	pause := l.random.ExpFloat64() / (q.perSecond * multiple)

	l.after(time.Duration(pause*float64(time.Second)), func() {
		if l.now.Sub(simStart) > loadBurstFrom+loadBurstTime {
			return
		}

		usual := l.loadSimulation.random
		l.loadSimulation.random, l.flooding = l.random, tenant
		l.submit(q)
		l.loadSimulation.random, l.flooding = usual, nil

		l.arriveBeside(q, multiple, tenant)
	})
}

// play runs a burst in which the first tenant submits a multiple of what it usually does, counts the jobs of the burst, and
// returns the share of the other tenants' jobs that were in time.
func (l *tenantLoad) play(t *testing.T, multiple float64) float64 {
	t.Helper()

	l.runUntil(simStart.Add(loadBurstFrom))
	l.countFrom = l.now

	for _, q := range l.queues {
		l.arriveBeside(q, loadBurst-1, nil)

		if multiple > 1 {
			l.arriveBeside(q, (multiple-1)*l.tenants[0].part, l.tenants[0])
		}
	}

	l.runUntil(simStart.Add(loadBurstFrom + loadBurstTime))
	l.countFrom = time.Time{} // The jobs that are submitted from now on do not count.
	l.runUntil(l.now.Add(2 * loadBurstTime))
	l.countOverdue()

	var others loadTenant

	for _, tenant := range l.tenants[1:] {
		others.inTime += tenant.inTime
		others.late += tenant.late
		others.refused += tenant.refused
	}

	first := l.tenants[0]
	t.Logf("shares %t, %g times the usual: first tenant %d in time, %d late, %d refused (%.3f); others %d, %d, %d (%.3f)",
		l.shares, multiple, first.inTime, first.late, first.refused, first.inTimeShare(),
		others.inTime, others.late, others.refused, others.inTimeShare())

	return others.inTimeShare()
}

// TestFloodOfOneTenantLeavesOthers has a large tenant submit a multiple of its usual rate beside a burst. What it sends
// beyond its share displaces nothing that is owed to others, so they are served as without it; by one job in fifty less at
// the most, because tasks that started while there was room end by themselves. The plain order, without shares, misses that
// where the flood is more than the pools hold.
func TestFloodOfOneTenantLeavesOthers(t *testing.T) {
	const (
		displaced = 0.02
		runs      = 2
	)

	mean := func(shares bool, multiple float64) float64 {
		sum := 0.0
		for seed := range uint64(runs) {
			sum += newTenantLoad(seed, shares).play(t, multiple)
		}

		return sum / runs
	}

	owed := mean(true, 1) - displaced

	for _, multiple := range []float64{4, 7.5} {
		others := mean(true, multiple)
		assert.Assert(t, others >= owed, "%.3f of the others' jobs in time, %.3f owed", others, owed)
	}

	plain := mean(false, 7.5)
	assert.Assert(t, plain < owed, "%.3f of the others' jobs in time in plain order, %.3f owed", plain, owed)
}
