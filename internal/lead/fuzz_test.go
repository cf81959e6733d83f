package lead

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFuzzScheduler draws jobs of all kinds, and workers that crash, are cut off,
// start again under their ids, fail or hang, orders that are lost or carried out
// late, and new leaders. It checks each start by the rules, and expects all work
// to end once the faults do.
func TestFuzzScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, t, 6)
		w.calm = false

		draw := &drawer{w: w}

		t.Repeat(map[string]func(*rapid.T){
			"submit": draw.submit,
			"cancel": draw.cancel,
			"pass":   draw.pass,
			"lead":   func(*rapid.T) { w.deaf = w.flip("deaf"); w.newLeader() },
			"crash":  draw.crash,
			"back":   draw.back,
			"cut":    draw.cut,
			"reborn": draw.reborn,
			"sick":   draw.sick,
			"faults": draw.faults,
		})

		w.settle(90 * time.Second)
	})
}

// drawer turns draws into what happens.
type drawer struct {
	w    *world
	jobs int
	// lasting says that a step has tasks that last: there is one only, so that room is left.
	lasting bool
}

func (d *drawer) submit(t *rapid.T) {
	if d.jobs >= 8 {
		t.Skip("enough jobs")
	}

	d.jobs++

	id := fmt.Sprintf("%016x", d.jobs)
	queue := rapid.SampledFrom([]string{"free", "advised"}).Draw(t, "queue")
	takes := time.Duration(rapid.IntRange(1, 30).Draw(t, "takes")) * 100 * time.Millisecond

	steps := make([]mill.Step, rapid.IntRange(1, 3).Draw(t, "steps"))
	for i := range steps {
		steps[i] = d.step(t, i, len(steps) == 1)
	}

	d.w.poison[id] = rapid.IntRange(0, 7).Draw(t, "poison") == 0
	d.w.submit(id, queue, takes, steps...)
}

func (d *drawer) step(t *rapid.T, index int, alone bool) mill.Step {
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
		if !d.lasting && alone {
			d.lasting = true
			step = mill.Step{Count: 2, PerTask: mill.Resources{MilliCores: 500, MemoryMiB: 100}, LongRunning: true}
			step.TailLatencyTarget = time.Duration(rapid.IntRange(0, 1).Draw(t, "serves")) * 40 * time.Millisecond
		}
	default:
	}

	return step
}

func (d *drawer) cancel(t *rapid.T) {
	if d.jobs == 0 {
		t.Skip("no job")
	}

	id := fmt.Sprintf("%016x", rapid.IntRange(1, d.jobs).Draw(t, "job"))
	if d.w.specs[id].canceled.IsZero() {
		d.w.cancel(id)
	}
}

func (d *drawer) pass(t *rapid.T) {
	d.w.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "steps")) * worldStep)
}

func (d *drawer) executor(t *rapid.T) *executor {
	return d.w.executors[rapid.IntRange(0, len(d.w.executors)-1).Draw(t, "executor")]
}

func (d *drawer) crash(t *rapid.T) {
	e := d.executor(t)
	e.up = false
	e.running = make(map[mill.TaskID]*activity)
}

func (d *drawer) back(t *rapid.T) {
	e := d.executor(t)
	if !e.up {
		e.up = true
		e.reset()
	}
}

func (d *drawer) cut(t *rapid.T) {
	e := d.executor(t)
	e.cut = !e.cut
}

func (d *drawer) reborn(t *rapid.T) {
	e := d.executor(t)
	if !e.up {
		return
	}

	e.up = false
	d.w.after(2*sameLife, func() {
		if !e.up {
			e.up = true
			e.reset()
		}
	})
}

func (d *drawer) sick(t *rapid.T) {
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

func (d *drawer) faults(t *rapid.T) {
	d.w.faults = faults{
		lostOrder:  rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "lostOrder"),
		lostAnswer: rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "lostAnswer"),
		late:       rapid.SampledFrom([]int{0, 0, 10, 30}).Draw(t, "late"),
	}
}

// TestFuzzCalm draws jobs and cancellations without any fault, and expects that no
// member of a gang ever waits in vain for the others.
func TestFuzzCalm(t *testing.T) {
	seeds.SetChecks(t, 60)

	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, t, 6)
		draw := &drawer{w: w}

		t.Repeat(map[string]func(*rapid.T){
			"submit": draw.submit,
			"cancel": draw.cancel,
			"pass":   draw.pass,
		})

		w.settle(60 * time.Second)
	})
}
