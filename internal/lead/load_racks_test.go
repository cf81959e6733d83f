package lead

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The simulated deployment with racks: a fifth of the large one.
const (
	rackCount       = 6
	rackFarFactor   = 2
	rackShare       = 0.2
	smallPerRack    = 26
	largePerRack    = 10
	rackLoad        = 0.75
	rackDataPercent = 50
	hotRack         = "rack0"
)

// rackSimulation is a loadSimulation whose steps want racks.
type rackSimulation struct {
	*loadSimulation

	racks *rand.Rand
	// hotPercent of the steps of the first two queues have their data on hotRack.
	hotPercent int
	// extraTime adds up the core-seconds that runs take longer for being away.
	extraTime float64
	// firsts holds how long the jobs that count have waited for their first start.
	firsts map[string]time.Duration
}

// rackPolicy decides whether tasks wait; nil selects the scheduler's own decision.
type rackPolicy func(w *plan.RackWait, room time.Duration) plan.RackDecision

var rackPolicies = []struct {
	name   string
	decide rackPolicy
}{
	{name: "value"},
	{name: "never", decide: func(*plan.RackWait, time.Duration) plan.RackDecision { return plan.RackDecision{} }},
	{name: "always", decide: func(*plan.RackWait, time.Duration) plan.RackDecision { return plan.RackDecision{Wait: true} }},
	{name: "fixed", decide: func(w *plan.RackWait, _ time.Duration) plan.RackDecision {
		return plan.RackDecision{Wait: w.Waited < time.Second}
	}},
}

func newRackSimulation(seed uint64, decide rackPolicy) *rackSimulation {
	queues := loadQueues()
	for _, q := range queues {
		q.perSecond *= rackShare * rackLoad
	}

	r := &rackSimulation{
		loadSimulation: newLoadSimulationOf(seed, queues, rackFarFactor, addRackWorkers),
		racks:          rand.New(rand.NewPCG(seed, 1)), firsts: make(map[string]time.Duration),
	}
	r.shape, r.slowdown, r.scheduler.racks.decide = r.chooseRack, r.started, decide

	return r
}

func addRackWorkers(l *loadSimulation) {
	for rack := range rackCount {
		for i := range smallPerRack {
			l.addSmallWorker(fmt.Sprintf("s%d-%d", rack, i), i).status.Rack = fmt.Sprintf("rack%d", rack)
		}

		for i := range largePerRack {
			l.addLargeWorker(fmt.Sprintf("l%d-%d", rack, i)).status.Rack = fmt.Sprintf("rack%d", rack)
		}
	}
}

// chooseRack gives a step the rack that it wants.
func (r *rackSimulation) chooseRack(q *loadQueue, step *mill.Step) {
	switch {
	case step.Gang:
		step.SameRack = true
	case r.racks.IntN(100) < r.hotPercent && slices.Index(r.queues, q) < 2:
		step.DataRack = hotRack
	case r.racks.IntN(100) < rackDataPercent && q.stays == 0:
		step.DataRack = fmt.Sprintf("rack%d", r.racks.IntN(rackCount))
	}
}

// started returns how many times as long a run takes, and notes the first one of a job.
func (r *rackSimulation) started(run mill.RunRef, step *mill.Step, w *loadWorker) float64 {
	if _, ok := r.firsts[run.Task.Job]; !ok && r.jobs[run.Task.Job].counts {
		job, _ := r.state.Job(run.Task.Job)
		r.firsts[run.Task.Job] = r.now.Sub(time.UnixMilli(job.UnixMilli))
	}

	away := step.DataRack != "" && step.DataRack != w.status.Rack

	for index := range step.Count {
		member, ok := r.scheduler.runs[run.Task.Task(index)]
		away = away || step.SameRack && ok && member.worker.status.Rack != w.status.Rack
	}

	if !away {
		return 1
	}

	r.extraTime += (rackFarFactor - 1) * step.Estimate.Seconds() * float64(step.PerTask.MilliCores) / 1000

	return rackFarFactor
}

// rackResult is what a policy has brought.
type rackResult struct {
	inTime, late int
	text         string
}

func (r *rackSimulation) result() rackResult {
	r.countOverdue()

	var result rackResult

	for _, q := range r.queues {
		if q.stays > 0 {
			continue
		}

		result.inTime += q.inTime
		result.late += q.late
		result.text += fmt.Sprintf(" %s %d/%d", q.Name, q.late, q.inTime+q.late)
	}

	firsts, sum := slices.Sorted(maps.Values(r.firsts)), time.Duration(0)
	for _, first := range firsts {
		sum += first
	}

	result.text = fmt.Sprintf("in time %4d, late%s, first start %4d ms, 95 %% %4d ms, %5.0f core-s away", result.inTime,
		result.text, (sum / time.Duration(len(firsts))).Milliseconds(), firsts[len(firsts)*95/100].Milliseconds(), r.extraTime)

	return result
}

const (
	rackCountFrom  = 5 * time.Second
	rackCountUntil = 28 * time.Second
	rackEnd        = 50 * time.Second
)

// play simulates a day, with a disturbance from 6 s to 26 s.
func (r *rackSimulation) play(disturb, restore func()) rackResult {
	r.after(6*time.Second, disturb)
	r.after(26*time.Second, restore)
	r.runUntil(simStart.Add(rackCountFrom))
	r.countFrom = r.now
	r.runUntil(simStart.Add(rackCountUntil))
	r.countFrom = simStart.Add(time.Hour)
	r.runUntil(simStart.Add(rackEnd))

	return r.result()
}

// playAll plays a day with each policy and some seeds, and returns the results by policy.
func playAll(t *testing.T, seeds uint64, disturb, restore func(r *rackSimulation)) map[string]rackResult {
	t.Helper()

	results := make(map[string]rackResult)

	for _, policy := range rackPolicies {
		var total rackResult

		for seed := uint64(1); seed <= seeds; seed++ {
			r := newRackSimulation(seed, policy.decide)
			result := r.play(func() { disturb(r) }, func() { restore(r) })
			total.inTime += result.inTime
			total.late += result.late

			t.Logf("%-6s %d: %s", policy.name, seed, result.text)
			t.Logf("          %+v", r.scheduler.TakeRackCounts())
		}

		t.Logf("%-6s: %d in time, %d late", policy.name, total.inTime, total.late)
		results[policy.name] = total
	}

	return results
}

// TestHotRack expects waiting by value to serve no fewer jobs in time than simple policies while 60 % of the steps of two
// queues want one rack: waiting for it as long as it takes makes jobs late, and so does filling the pool with slow runs.
func TestHotRack(t *testing.T) {
	results := playAll(t, 3, func(r *rackSimulation) { r.hotPercent = 60 }, func(r *rackSimulation) { r.hotPercent = 0 })

	for _, policy := range rackPolicies {
		assert.Check(t, results["value"].inTime >= results[policy.name].inTime, policy.name)
	}
}

// TestBurst prints what each policy brings when three times as many short jobs arrive for some seconds.
func TestBurst(t *testing.T) {
	playAll(t, 1, func(r *rackSimulation) {
		lookup := r.queues[0]
		lookup.perSecond *= 3
		r.after(5*time.Second, func() { lookup.perSecond /= 3 })
	}, func(*rackSimulation) {})
}

// TestLostRack prints what each policy brings after a rack has lost its power: its data are wanted all the same.
func TestLostRack(t *testing.T) {
	playAll(t, 1, func(r *rackSimulation) {
		for _, w := range r.workers {
			w.lost = w.status.Rack == hotRack
		}
	}, func(*rackSimulation) {})
}

// TestCalmDay expects waiting by value to serve as many jobs in time as starting all of them at once.
func TestCalmDay(t *testing.T) {
	results := playAll(t, 3, func(*rackSimulation) {}, func(*rackSimulation) {})

	assert.Check(t, results["value"].inTime >= results["never"].inTime)
}

// TestPlansWithoutRacksStayTheSame expects the same runs on the same workers with a factor as without if no step wants a
// rack, and with the factor 1 as with 0 if steps do.
func TestPlansWithoutRacksStayTheSame(t *testing.T) {
	runs := func(factor float64, racks bool) map[mill.TaskID]string {
		r := newRackSimulation(1, nil)
		r.scheduler.bounds.FarFactor = factor

		if !racks {
			r.shape = nil
		}

		r.runUntil(simStart.Add(8 * time.Second))

		workers := make(map[mill.TaskID]string)
		for task, run := range r.scheduler.runs {
			workers[task] = run.worker.status.ID
		}

		return workers
	}

	assert.Assert(t, maps.Equal(runs(0, false), runs(rackFarFactor, false)))
	assert.Assert(t, maps.Equal(runs(0, true), runs(1, true)))
	assert.Assert(t, !maps.Equal(runs(0, true), runs(rackFarFactor, true)), "the racks of the simulation have no effect")
}
