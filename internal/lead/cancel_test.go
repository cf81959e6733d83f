package lead

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// longerThanTest is a run time of tasks that have to be stopped, because they do not finish during a test.
const longerThanTest = time.Hour

// TestFuzzCanceled runs tasks that only end when they are stopped through random faults, cancels some of their jobs
// meanwhile and the others once all is calm. It expects that no task of a canceled job runs on through a calm stretch
// of the time limit. Besides the faults of TestFuzzScheduler, workers leave as planned, leaders know workers from the
// state alone, and workers report but answer no orders.
func TestFuzzCanceled(t *testing.T) {
	seeds.SetChecks(t, 200)

	rapid.Check(t, func(t *rapid.T) { fuzzCanceled(t, newSimulation(t, t, 4)) })
}

func fuzzCanceled(t *rapid.T, sim *simulation) {
	sim.faultless = false

	draw := &actionDrawer{sim: sim}
	for range 6 {
		draw.submitEndless(t)
	}

	sim.run(time.Second)

	t.Repeat(map[string]func(*rapid.T){
		"submit": draw.submitEndless,
		"cancel": draw.cancel,
		"pass":   draw.advance,
		"wait":   draw.advance,
		"lead":   sim.changeLeader,
		"crash":  draw.crash,
		"back":   draw.recover,
		"cut":    draw.toggleNetwork,
		"reborn": draw.restart,
		"sick":   draw.toggleFault,
		"silent": draw.toggleSilence,
		"leave":  draw.leave,
		"faults": draw.faults,
	})

	sim.heal()
	sim.run(simContactTime + simCancelTime + simStopTime + time.Second)

	for id, spec := range sim.specs {
		if spec.canceled.IsZero() {
			sim.cancel(id)
		}
	}

	sim.run(simCancelTime + simStopTime + time.Second)
}

// submitEndless submits a job whose tasks do not finish during the test.
func (d *actionDrawer) submitEndless(t *rapid.T) {
	if d.jobs >= 16 {
		t.Skip("enough jobs")
	}

	step := mill.Step{
		Count:   rapid.IntRange(1, 4).Draw(t, "count"),
		PerTask: mill.Resources{MilliCores: 500, MemoryMiB: 100},
	}

	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		step.Gang = true
	case 1:
		step.LongRunning = true
	default:
		step.Checkpointing = rapid.Bool().Draw(t, "checkpointing")
	}

	work := mill.Workload{Steps: []mill.Step{step}}
	if !step.LongRunning && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
		work.Repeat = mill.Repeat{Times: 3, FirstUnixMilli: d.sim.now.UnixMilli(), Interval: 2 * time.Second}
	}

	d.jobs++
	id := d.id(d.jobs)
	work.Spec = id
	d.sim.submitWork(id, rapid.SampledFrom([]string{"free", "advised"}).Draw(t, "queue"), longerThanTest, work)
}

// toggleSilence loses a worker's reports or the orders to it, or ends that.
func (d *actionDrawer) toggleSilence(t *rapid.T) {
	e := d.executor(t)

	if rapid.Bool().Draw(t, "reports") {
		e.unheard = !e.unheard
	} else {
		e.mute = !e.mute
	}
}

func (d *actionDrawer) leave(t *rapid.T) {
	e := d.executor(t)
	if e.reports() {
		e.leave()
	}
}
