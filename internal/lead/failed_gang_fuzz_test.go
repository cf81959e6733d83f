package lead

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFuzzGangsFailTogether runs random gangs of which several members fail in one run, at one moment or apart, beside
// others that are stopped or lose their executor or lease, through changes of leader and lists that are lost, late or
// repeated.
func TestFuzzGangsFailTogether(t *testing.T) {
	seeds.SetChecks(t, 150)

	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, t, 6)
		sim.faultless = false

		draw := &gangDrawer{actionDrawer: actionDrawer{sim: sim}}
		draw.gangFaults(t)

		t.Repeat(map[string]func(*rapid.T){
			"submit":  draw.submitGangs,
			"pass":    draw.advance,
			"between": draw.gangFaults,
			"lead":    sim.changeLeader,
			"reborn":  draw.restart,
			"sick":    draw.toggleSickness,
			"faults":  draw.listFaults,
			"resize":  draw.resize,
			"cancel": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "cancels") == 0 {
					draw.cancel(t)
				}
			},
		})

		sim.heal()
		sim.run(30 * time.Second)

		sim.gangFaults = gangFaults{}
		sim.recoverAndCheck(120 * time.Second)
	})
}

// gangDrawer draws jobs with gangs that fail, and the faults around them.
type gangDrawer struct {
	actionDrawer
}

// submitGangs submits a job of one to three steps, most of them gangs, that is repeated or not, and whose runs fail at
// first, always or never.
func (d *gangDrawer) submitGangs(t *rapid.T) {
	if d.jobs >= 6 {
		t.Skip("enough jobs")
	}

	d.jobs++

	id := d.id(d.jobs)
	queue := rapid.SampledFrom([]string{"free", "advised"}).Draw(t, "queue")
	duration := time.Duration(rapid.IntRange(1, 20).Draw(t, "takes")) * 100 * time.Millisecond
	work := mill.Workload{Spec: id, Steps: make([]mill.Step, rapid.IntRange(1, 3).Draw(t, "steps"))}

	for i := range work.Steps {
		work.Steps[i] = d.gang(t, i)
	}

	if rapid.IntRange(0, 3).Draw(t, "repeated") == 0 {
		work.Repeat = mill.Repeat{
			Times:          rapid.IntRange(2, 3).Draw(t, "times"),
			FirstUnixMilli: d.sim.now.UnixMilli(),
			Interval:       time.Duration(rapid.IntRange(1, 30).Draw(t, "interval")) * 100 * time.Millisecond,
		}
	}

	d.sim.failingRuns[id] = rapid.IntRange(0, 5).Draw(t, "failing runs")
	d.sim.submitWork(id, queue, duration, work)
}

func (*gangDrawer) gang(t *rapid.T, index int) mill.Step {
	step := gangStep(rapid.IntRange(2, 5).Draw(t, "members"), 500*int64(rapid.IntRange(1, 4).Draw(t, "cores")))
	step.Gang = rapid.IntRange(0, 5).Draw(t, "gang") > 0
	step.Checkpointing = rapid.Bool().Draw(t, "checkpointing")

	if index > 0 && rapid.Bool().Draw(t, "after") {
		step.After = []int{index - 1}
	}

	return step
}

// gangFaults changes what happens between the ends of one gang's members.
func (d *gangDrawer) gangFaults(t *rapid.T) {
	d.sim.gangFaults = gangFaults{
		crash:    rapid.SampledFrom([]int{0, 10, 30}).Draw(t, "crash"),
		lapse:    rapid.SampledFrom([]int{0, 10, 30}).Draw(t, "lapse"),
		takeover: rapid.SampledFrom([]int{0, 30, 60}).Draw(t, "takeover"),
	}
}

// toggleSickness has an executor fail all that it runs, or no longer.
func (d *gangDrawer) toggleSickness(t *rapid.T) {
	e := d.executor(t)
	e.fails = !e.fails
}

func (d *gangDrawer) listFaults(t *rapid.T) {
	d.sim.faults = faults{
		lostOrder:    rapid.SampledFrom([]int{0, 0, 10}).Draw(t, "lostOrder"),
		lostAnswer:   rapid.SampledFrom([]int{0, 0, 20, 50}).Draw(t, "lostAnswer"),
		late:         rapid.SampledFrom([]int{0, 0, 20}).Draw(t, "late"),
		repeatedList: rapid.SampledFrom([]int{0, 30, 60}).Draw(t, "repeatedList"),
	}
}
