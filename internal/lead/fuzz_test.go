package lead

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFuzzScheduler runs random jobs of all kinds through random faults: workers that crash, are
// disconnected, restart under the same id, fail or hang, and whose capacity changes; orders and
// reports that are lost or delayed; and changes of leader. It checks each start against the
// invariants, and expects all work to finish once the faults cease.
func TestFuzzScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, t, 6)
		sim.faultless = false

		draw := &actionDrawer{sim: sim}

		t.Repeat(map[string]func(*rapid.T){
			"submit": draw.submit,
			"cancel": draw.cancel,
			"pass":   draw.advance,
			"lead":   sim.changeLeader,
			"crash":  draw.crash,
			"back":   draw.recover,
			"cut":    draw.toggleNetwork,
			"reborn": draw.restart,
			"sick":   draw.toggleFault,
			"faults": draw.faults,
			"resize": draw.resize,
			"leave":  draw.leave,
		})

		sim.recoverAndCheck(90 * time.Second)
	})
}

// actionDrawer draws the parameters of the simulation's actions.
type actionDrawer struct {
	sim  *simulation
	jobs int
	// hasLongRunning says that a long-running step exists. There is at most one, so that capacity is left
	// for other jobs.
	hasLongRunning bool
}

// id returns the id of the job with that number.
func (*actionDrawer) id(number int) string {
	return fmt.Sprintf("%016x", number)
}

// changeLeader has a new leader take over, which may not know the reports of the workers yet.
func (sim *simulation) changeLeader(*rapid.T) {
	sim.withoutReports = sim.flip("deaf")
	sim.newLeader()
}

func (d *actionDrawer) submit(t *rapid.T) {
	if d.jobs >= 8 {
		t.Skip("enough jobs")
	}

	d.jobs++

	id := d.id(d.jobs)
	queue := rapid.SampledFrom([]string{"free", "advised"}).Draw(t, "queue")
	duration := time.Duration(rapid.IntRange(1, 30).Draw(t, "takes")) * 100 * time.Millisecond

	steps := make([]mill.Step, rapid.IntRange(1, 3).Draw(t, "steps"))
	for i := range steps {
		steps[i] = d.step(t, i, len(steps) == 1)
	}

	switch rapid.IntRange(0, 7).Draw(t, "poison") {
	case 0:
		d.sim.failingJobs[id] = true
	case 1:
		d.sim.failingRuns[id] = 2
	default:
	}

	d.sim.submit(id, queue, duration, steps...)
}

func (d *actionDrawer) step(t *rapid.T, index int, alone bool) mill.Step {
	step := mill.Step{
		Count:         rapid.IntRange(1, 4).Draw(t, "count"),
		PerTask:       mill.Resources{MilliCores: int64(rapid.IntRange(1, 4).Draw(t, "cores")) * 500, MemoryMiB: 500},
		Checkpointing: rapid.Bool().Draw(t, "checkpointing"),
		MaxPerWorker:  rapid.IntRange(0, 2).Draw(t, "apart"),
	}

	if index > 0 && rapid.Bool().Draw(t, "after") {
		step.After = []int{index - 1}
	}

	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		step.Gang = true
		step.MaxPerWorker = 0
	case 1:
		step.PerTask.Accelerators = 1
	case 2:
		step.BestEffort = true
	case 3:
		if !d.hasLongRunning && alone {
			d.hasLongRunning = true
			step = mill.Step{Count: 2, PerTask: mill.Resources{MilliCores: 500, MemoryMiB: 100}, LongRunning: true}
			step.TailLatencyTarget = time.Duration(rapid.IntRange(0, 1).Draw(t, "serves")) * 40 * time.Millisecond
		}
	default:
	}

	if d.sim.farFactor > 1 {
		step.DataRack = rapid.SampledFrom([]string{"", "r0", "r1", "r9"}).Draw(t, "rack")
		step.SameRack = step.Gang && rapid.Bool().Draw(t, "one rack")
	}

	return step
}

func (d *actionDrawer) cancel(t *rapid.T) {
	if d.jobs == 0 {
		t.Skip("no job")
	}

	id := d.id(rapid.IntRange(1, d.jobs).Draw(t, "job"))
	if d.sim.specs[id].canceled.IsZero() {
		d.sim.cancel(id)
	}
}

func (d *actionDrawer) advance(t *rapid.T) {
	d.sim.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "steps")) * simStep)
}

func (d *actionDrawer) executor(t *rapid.T) *executor {
	return d.sim.executors[rapid.IntRange(0, len(d.sim.executors)-1).Draw(t, "executor")]
}

func (d *actionDrawer) crash(t *rapid.T) {
	d.executor(t).crash()
}

func (d *actionDrawer) recover(t *rapid.T) {
	d.executor(t).comeBack()
}

func (d *actionDrawer) toggleNetwork(t *rapid.T) {
	e := d.executor(t)
	e.disconnected = !e.disconnected
}

func (d *actionDrawer) restart(t *rapid.T) {
	e := d.executor(t)
	if !e.up {
		return
	}

	e.crash()
	d.sim.after(2*minRestartTime, e.comeBack)
}

func (d *actionDrawer) toggleFault(t *rapid.T) {
	e := d.executor(t)

	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		e.fails = !e.fails
	case 1:
		e.hangs = !e.hangs
	default:
		e.draining = !e.draining
	}
}

// resize changes an executor's cores and memory.
func (d *actionDrawer) resize(t *rapid.T) {
	e := d.executor(t)
	next := e.capacity
	next.MilliCores = 1000 * int64(rapid.IntRange(0, 4).Draw(t, "cores left"))
	next.MemoryMiB = 1000 * int64(rapid.IntRange(0, 4).Draw(t, "memory left"))
	e.resize(next)
}

// reportFaults changes the faults of reports alone.
func (d *actionDrawer) reportFaults(t *rapid.T) {
	d.sim.faults = faults{
		lostReport: rapid.SampledFrom([]int{0, 0, 40, 100}).Draw(t, "lostReport"),
		lateReport: rapid.SampledFrom([]int{0, 0, 40, 100}).Draw(t, "lateReport"),
	}
}

func (d *actionDrawer) faults(t *rapid.T) {
	d.sim.faults = faults{
		lostOrder:  rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "lostOrder"),
		unsent:     rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "unsent"),
		lostAnswer: rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "lostAnswer"),
		late:       rapid.SampledFrom([]int{0, 0, 10, 30}).Draw(t, "late"),
		lostReport: rapid.SampledFrom([]int{0, 0, 40, 100}).Draw(t, "lostReport"),
		lateReport: rapid.SampledFrom([]int{0, 0, 40, 100}).Draw(t, "lateReport"),
		slowAnswer: rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "slowAnswer"),

		clockSetBack: rapid.SampledFrom([]int{0, 0, 50}).Draw(t, "clockSetBack"),
	}
}

// TestFuzzCalm runs random jobs and cancellations without faults, and expects that no member of a
// gang times out waiting for the others.
func TestFuzzCalm(t *testing.T) {
	seeds.SetChecks(t, 60)

	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, t, 6)
		draw := &actionDrawer{sim: sim}

		t.Repeat(map[string]func(*rapid.T){
			"submit": draw.submit,
			"cancel": draw.cancel,
			"pass":   draw.advance,
		})

		sim.recoverAndCheck(60 * time.Second)
	})
}
