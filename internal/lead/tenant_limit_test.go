package lead

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// limitTenant puts a setup in force in which the tenant "t" may have so many thousandths of a core running.
func limitTenant(state *jobs.State, milliCores int64) {
	setup := simSetup()
	if state.Setup() != nil {
		setup.Version = state.Setup().Version + 1
	}

	setup.Tenants = []mill.Tenant{{Name: "t", MaxRunning: mill.Resources{MilliCores: milliCores}}}
	state.Apply(&jobs.Command{Setup: setup})
}

func submitForTenant(state *jobs.State, id, queue string, step mill.Step) {
	step.Estimate = time.Second
	state.Apply(&jobs.Command{Submit: &jobs.Submit{
		Job: id, Queue: queue, UnixMilli: simStart.UnixMilli(), Tenant: "t", Work: mill.Workload{Steps: []mill.Step{step}},
	}})
}

// placements returns how many tasks of each job a plan at a time places.
func placements(scheduler *Scheduler, state *jobs.State, now time.Time) map[string]int {
	for _, w := range scheduler.workersByID() {
		w.lastHeard, w.statusSentAt = now, now
	}

	placed := make(map[string]int)

	for _, command := range scheduler.Next(now, now.UnixMilli(), state).Commands {
		if command.Place != nil {
			placed[command.Place.Task.Job]++
		}
	}

	return placed
}

// TestTenantLimitCutsSteps checks what starts of a tenant's work in an empty pool: as many tasks of a step as its limit
// lets, best-effort ones too, and of a gang all or none.
func TestTenantLimitCutsSteps(t *testing.T) {
	state, scheduler := benchmarkPool(8)
	limitTenant(state, 5500)

	whole := mill.Resources{MilliCores: 1000}
	submitForTenant(state, "fill", "free", mill.Step{Count: 3, PerTask: whole, BestEffort: true})
	submitForTenant(state, "gang", "free", mill.Step{Count: 3, PerTask: whole, Gang: true})
	submitForTenant(state, "step", "free", mill.Step{Count: 4, PerTask: whole})
	benchmarkSubmit(state, "other", "free", 9, 1000)

	assert.DeepEqual(t, placements(scheduler, state, simStart), map[string]int{"fill": 3, "step": 2, "other": 9})

	limitTenant(state, 9000)
	assert.DeepEqual(t, placements(scheduler, state, simStart), map[string]int{"gang": 3, "step": 1})

	limitTenant(state, 1000)
	assert.Equal(t, len(placements(scheduler, state, simStart)), 0)

	setup := simSetup()
	setup.Version = state.Setup().Version + 1
	state.Apply(&jobs.Command{Setup: setup}) // A tenant that is not named has no limit.
	assert.DeepEqual(t, placements(scheduler, state, simStart), map[string]int{"step": 1})
}

// TestTenantAtItsLimitTakesNothingFromOthers checks that steps whose tenant is at its limit get no reserved worker, no
// request for advice and no preempted run, that they are neither overdue nor standstills, and that the log names the reason.
func TestTenantAtItsLimitTakesNothingFromOthers(t *testing.T) {
	state, scheduler := benchmarkPool(4)
	scheduler.bounds.MaxStopTime = time.Second
	limitTenant(state, 4000)

	scheduler.AdvisorReachable("front", simStart)
	submitForTenant(state, "running", "free", mill.Step{Count: 2, PerTask: mill.Resources{MilliCores: 2000}, LongRunning: true})
	placements(scheduler, state, simStart)

	submitForTenant(state, "advised", "advised", mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 500}})
	submitForTenant(state, "large", "free", mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 4000}})

	now := simStart

	for range 8 {
		now = now.Add(time.Second)
		assert.Equal(t, len(placements(scheduler, state, now)), 0)
		assert.Equal(t, scheduler.Summary(now, state).StandingJobs, 0)
	}

	for _, c := range scheduler.lastCandidates {
		assert.Assert(t, !plan.Overdue(c.idleFor(now)), "%s is overdue", c.id)
		assert.Assert(t, c.advice == nil || !c.advice.requestPending)
	}

	for _, w := range scheduler.workers {
		assert.Equal(t, w.reserved, mill.Resources{})
	}

	longest := scheduler.Summary(now, state).LongestWait
	assert.Equal(t, longest.Reason, WaitTenantLimit)
	assert.Equal(t, longest.Tenant, "t")

	for _, r := range scheduler.runs {
		assert.Assert(t, !r.stopping)
	}
}

// TestTenantsAreReported checks that a leader reports the use of the tenants that the setup names, and none once its term
// has ended.
func TestTenantsAreReported(t *testing.T) {
	state, scheduler := benchmarkPool(4)
	limitTenant(state, 4000)
	submitForTenant(state, "running", "free", mill.Step{Count: 3, PerTask: mill.Resources{MilliCores: 1000}})
	placements(scheduler, state, simStart)
	submitForTenant(state, "waiting", "free", mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 2000}})

	reports := make(chan []TenantSummary, 9)
	ctx, cancel := context.WithCancel(t.Context())
	runner := NewRunner(ctx, scheduler, Dependencies{
		Confirm:       func(context.Context) error { return nil },
		View:          func(read func(state *jobs.State)) { read(state) },
		Propose:       func([]jobs.Command, func([]jobs.Result, error)) {},
		WallMilli:     time.Time.UnixMilli,
		ReportTenants: func(summaries []TenantSummary) { reports <- summaries },
	})

	go runner.Run()

	assert.DeepEqual(t, <-reports, []TenantSummary{{
		Name: "t", Running: mill.Resources{MilliCores: 3000}, Limit: mill.Resources{MilliCores: 4000}, WaitingJobs: 2,
	}})
	cancel()

	for len(<-reports) > 0 {
	}

	limitTenant(state, 4000)
	assert.Equal(t, len(scheduler.TenantSummaries(state)), 1)
	state.Apply(&jobs.Command{Setup: &mill.Setup{Version: 99}})
	assert.Equal(t, len(scheduler.TenantSummaries(state)), 0)
}

// TestNewLeaderCountsInheritedRuns checks that a leader starts nothing beside the runs of an earlier one that reach the
// limit, though no worker has confirmed them.
func TestNewLeaderCountsInheritedRuns(t *testing.T) {
	state, scheduler := benchmarkPool(4)
	limitTenant(state, 4000)
	submitForTenant(state, "first", "free", mill.Step{Count: 4, PerTask: mill.Resources{MilliCores: 1000}})

	actions := scheduler.Next(simStart, simStart.UnixMilli(), state)
	for i := range actions.Commands {
		state.Apply(&actions.Commands[i])
	}

	submitForTenant(state, "second", "free", mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 1000}})

	next := New(Bounds{MaxLease: simMaxLease}, 2, simStart, state, scheduler.placer)
	for _, w := range scheduler.workersByID() {
		w.status.Sequence++
		next.Report(&w.status, simStart)
	}

	assert.Equal(t, len(placements(next, state, simStart)), 0)
}

// TestNewLeaderCountsMembersOfCompletedGang guards against starts above a tenant's limit, or a worker's capacity, beside
// members of a gang that run on after the end of another member has completed it, under a leader that has not placed them.
// One of their workers does not answer. Workers that drain take no new tasks, so that only the limit can be exceeded.
func TestNewLeaderCountsMembersOfCompletedGang(t *testing.T) {
	for _, draining := range []bool{true, false} {
		t.Run(fmt.Sprintf("draining %t", draining), func(t *testing.T) { playCompletedGang(t, draining) })
	}
}

func playCompletedGang(t *testing.T, draining bool) {
	t.Helper()

	const limit, cores = 8000, 2000

	sim := newSimulation(t, nil, 8)
	setup := simSetup()
	setup.Version, setup.Tenants = 2, []mill.Tenant{{Name: "t", MaxRunning: mill.Resources{MilliCores: limit}}}
	sim.configure(setup)
	sim.run(2 * simApplyTime) // Until then the setup without limits may be in force.

	sim.nextTenant, sim.memberLag = "t", 4*time.Second
	sim.submit(gangJob, "free", time.Second, gangStep(limit/cores, cores))

	members := sim.awaitGang(t, firstTask(gangJob))
	for _, member := range members {
		sim.holder(member).draining = draining
	}

	for sim.gangOutcome() == "" {
		sim.step()
	}

	sim.holder(members[len(members)-1]).mute = true

	for range 2 {
		stored, err := sim.state.Save()
		assert.NilError(t, err)
		assert.NilError(t, sim.state.Load(stored))

		sim.newLeader()
		sim.run(simStep)
	}

	assert.Assert(t, sim.tenants.running("t").MilliCores > limit/2)

	sim.submit("next", "free", time.Minute, mill.Step{Count: limit / cores, PerTask: mill.Resources{MilliCores: cores}})
	sim.run(sim.memberLag)
	assert.Assert(t, sim.tenants.running("t").MilliCores < limit, "the end on the silent worker was not read")

	sim.run(simMaxLease + takeoverMargin + simStopTime)
	assert.Equal(t, sim.tenants.running("t").MilliCores, int64(limit))
	assert.Equal(t, len(sim.state.EndingRuns()), 0)
}

// TestWorkBeyondShareDoesNotStandStill guards against work beyond a tenant's share that is not started for as long as its
// pool is nearly full, beside room for it twice over.
func TestWorkBeyondShareDoesNotStandStill(t *testing.T) {
	for _, queue := range []string{"free", "advised"} {
		sim := fullPool(t)
		sim.nextTenant, sim.nextBeyondShare = "t", true
		assertStarts(t, sim, queue)
	}
}
