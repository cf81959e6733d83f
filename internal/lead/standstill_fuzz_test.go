package lead

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// backlogQueues are the queues of the two pools of a backlog, with and without an advisor.
var backlogQueues = []string{"free", "advised", "annexFree", "annexAdvised"}

// TestFuzzStandstill keeps two pools nearly full beside long backlogs, with few addresses of an advisor that may take long,
// and has workers crash and leaders change. In calm times no job may stand still beside room for it.
func TestFuzzStandstill(t *testing.T) {
	seeds.SetChecks(t, 12)

	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, t, 10)
		sim.faultless = false

		draw := &backlogDrawer{sim: sim}
		draw.setUp(t)

		t.Repeat(map[string]func(*rapid.T){
			"fill":   draw.fill,
			"gangs":  draw.submitGangs,
			"large":  draw.submitLarge,
			"small":  draw.submitSmall,
			"lasts":  draw.submitLongRunning,
			"pass":   draw.advance,
			"calm":   func(*rapid.T) { sim.run(simCalmTime + 2*simStandstillTime) },
			"lead":   sim.changeLeader,
			"reborn": draw.restart,
			"sick":   draw.sicken,
			"late":   draw.delayAdvice,
		})

		sim.heal()
		sim.run(simCalmTime + 5*simStandstillTime)
	})
}

// backlogDrawer draws what happens in two pools with a backlog.
type backlogDrawer struct {
	sim  *simulation
	jobs int
}

// setUp gives each pool half of the executors, the advisor one to three addresses, and the jobs ample time or little.
func (d *backlogDrawer) setUp(t *rapid.T) {
	for i, e := range d.sim.executors {
		if i%2 == 1 {
			e.pool = "annex"
		}
	}

	d.sim.advisorAddresses = []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "addresses")]

	setup := simSetup()
	setup.Version++

	for i := range setup.Queues {
		setup.Queues[i].Stretch = rapid.SampledFrom([]float64{1, 2, 10}).Draw(t, "stretch")
	}

	d.sim.configure(setup)
	d.sim.run(2 * time.Second)
}

func (d *backlogDrawer) submit(t *rapid.T, duration time.Duration, count int, step mill.Step) {
	const most = 400

	queue := rapid.SampledFrom(backlogQueues).Draw(t, "queue")

	for range count {
		if d.jobs == most {
			return
		}

		d.jobs++
		d.sim.submit(fmt.Sprintf("job%03d", d.jobs), queue, duration, step)
	}
}

func (*backlogDrawer) perTask(eighths int) mill.Resources {
	return mill.Resources{MilliCores: int64(eighths) * simCapacity / 8, MemoryMiB: 100}
}

// fill submits tasks that leave an eighth to a half of each executor of their pool free.
func (d *backlogDrawer) fill(t *rapid.T) {
	d.submit(t, time.Duration(rapid.IntRange(5, 30).Draw(t, "takes"))*time.Second, 1, mill.Step{
		Count: len(d.sim.executors) / 2, MaxPerWorker: 1, PerTask: d.perTask(rapid.IntRange(4, 7).Draw(t, "eighths")),
	})
}

func (d *backlogDrawer) submitGangs(t *rapid.T) {
	d.submit(t, 5*time.Second, rapid.IntRange(1, 60).Draw(t, "gangs"), mill.Step{
		Count: rapid.IntRange(2, 6).Draw(t, "members"), Gang: true, PerTask: d.perTask(rapid.IntRange(1, 4).Draw(t, "eighths")),
	})
}

// submitLarge submits tasks that need a whole executor.
func (d *backlogDrawer) submitLarge(t *rapid.T) {
	d.submit(t, 5*time.Second, rapid.IntRange(1, 30).Draw(t, "large"), mill.Step{Count: 1, PerTask: d.perTask(8)})
}

func (d *backlogDrawer) submitSmall(t *rapid.T) {
	d.submit(t, time.Duration(rapid.IntRange(1, 20).Draw(t, "takes"))*time.Second, rapid.IntRange(1, 4).Draw(t, "small"),
		mill.Step{
			Count:        rapid.IntRange(1, 4).Draw(t, "count"),
			MaxPerWorker: rapid.IntRange(0, 1).Draw(t, "apart"),
			PerTask:      mill.Resources{MilliCores: simCapacity / 16, MemoryMiB: 100},
		})
}

func (d *backlogDrawer) submitLongRunning(t *rapid.T) {
	d.submit(t, time.Second, 1, mill.Step{Count: 2, LongRunning: true, PerTask: d.perTask(1)})
}

func (d *backlogDrawer) advance(t *rapid.T) {
	d.sim.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "steps")) * simStep)
}

func (d *backlogDrawer) executor(t *rapid.T) *executor {
	return d.sim.executors[rapid.IntRange(0, len(d.sim.executors)-1).Draw(t, "executor")]
}

// restart crashes an executor, which is back soon.
func (d *backlogDrawer) restart(t *rapid.T) {
	if e := d.executor(t); e.up {
		e.crash()
		d.sim.after(2*minRestartTime, e.comeBack)
	}
}

// sicken makes an executor fail all that it starts for some time.
func (d *backlogDrawer) sicken(t *rapid.T) {
	e := d.executor(t)
	e.fails = true

	d.sim.after(time.Duration(rapid.IntRange(1, 6).Draw(t, "seconds"))*time.Second, func() { e.fails = false })
}

// delayAdvice changes how long the advisor takes for an answer.
func (d *backlogDrawer) delayAdvice(t *rapid.T) {
	d.sim.decideTime = time.Duration(rapid.IntRange(1, 6).Draw(t, "tenths")) * 100 * time.Millisecond
}
