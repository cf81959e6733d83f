package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFuzzOnePlace draws freezes, restarts, lost replies, late reads and
// schedulers that replace each other, and checks that no task ever runs in two
// places, that no worker runs more than it has, and that every job ends once
// the faults do.
func TestFuzzOnePlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.heal(time.Duration(rapid.SampledFrom([]int{0, 4, 8}).Draw(t, "start")) * time.Second)

		draw := &drawer{w: w}

		t.Repeat(map[string]func(*rapid.T){
			"submit":      draw.submit,
			"cancel":      draw.cancel,
			"steps":       draw.steps,
			"moreSteps":   draw.steps,
			"pass":        draw.pass,
			"renew":       draw.renew,
			"read":        draw.read,
			"merge":       func(*rapid.T) { w.mergeOldest() },
			"plan":        draw.plan,
			"heartbeat":   draw.heartbeat,
			"heartbeats":  draw.heartbeat,
			"finish":      draw.finish,
			"freeze":      draw.freeze,
			"thaw":        draw.thaw,
			"restart":     draw.restart,
			"resign":      func(t *rapid.T) { w.resign(draw.scheduler(t)) },
			"cut":         draw.cut,
			"mend":        draw.mend,
			"loseAnswer":  draw.loseAnswer,
			"quietLeader": draw.quietLeader,
		})

		w.checkAllEnds()
	})
}

// checkAllEnds finishes whatever runs and expects every job to end.
func (w *world) checkAllEnds() {
	w.heal(12 * time.Second)

	for range 60 {
		for worker := range w.workers {
			for range workerCores {
				w.finish(worker, mill.TaskDone)
			}
		}

		w.step()
		w.pass(250 * time.Millisecond)
	}

	changed, _ := w.ledger.state.Changes(0, 1000, w.ledger.index)
	for i := range changed {
		if !changed[i].Final() {
			w.t.Fatalf("job %s has not ended: %+v: %s", changed[i].ID, changed[i].Tasks, w.describe())
		}
	}
}

// drawer draws what happens next in a world.
type drawer struct {
	w    *world
	jobs int
}

func (d *drawer) worker(t *rapid.T) int {
	return rapid.IntRange(0, len(d.w.workers)-1).Draw(t, "worker")
}

func (d *drawer) scheduler(t *rapid.T) int {
	return rapid.IntRange(0, len(d.w.schedulers)-1).Draw(t, "scheduler")
}

func (d *drawer) submit(t *rapid.T) {
	kinds := []mill.JobKind{mill.KindBatch, mill.KindAllAtOnce, mill.KindService}

	if d.jobs < 8 {
		d.jobs++
		d.w.submit(fmt.Sprintf("job%d", d.jobs), rapid.SampledFrom(kinds).Draw(t, "kind"),
			rapid.IntRange(1, 6).Draw(t, "tasks"))
	}
}

func (d *drawer) cancel(t *rapid.T) {
	if d.jobs > 0 && rapid.IntRange(0, 3).Draw(t, "seldom") == 0 {
		d.w.cancel(fmt.Sprintf("job%d", rapid.IntRange(1, d.jobs).Draw(t, "job")))
	}
}

func (d *drawer) steps(t *rapid.T) {
	for range rapid.SampledFrom([]int{1, 2, 4, 16}).Draw(t, "steps") {
		d.w.step()
		d.w.pass(250 * time.Millisecond)
	}
}

func (d *drawer) pass(t *rapid.T) {
	d.w.pass(time.Duration(rapid.SampledFrom([]int{10, 200, 900, 2100, 3200}).Draw(t, "milli")) * time.Millisecond)
}

func (d *drawer) delay(t *rapid.T) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 0, 100, 800, 2500}).Draw(t, "delay")) * time.Millisecond
}

func (d *drawer) renew(t *rapid.T) { d.w.renew(d.scheduler(t), d.delay(t)) }
func (d *drawer) read(t *rapid.T)  { d.w.read(d.scheduler(t)) }
func (d *drawer) plan(t *rapid.T)  { d.w.plan(d.scheduler(t)) }

func (d *drawer) heartbeat(t *rapid.T) {
	d.w.heartbeat(d.worker(t), d.scheduler(t), d.delay(t), rapid.IntRange(0, 3).Draw(t, "lost") == 0)
}

func (d *drawer) finish(t *rapid.T) {
	states := []mill.TaskState{mill.TaskDone, mill.TaskDone, mill.TaskFailed}
	d.w.finish(d.worker(t), rapid.SampledFrom(states).Draw(t, "state"))
}

func (d *drawer) freeze(t *rapid.T) { d.w.workers[d.worker(t)].frozen = true }

// thaw lets a worker go on; the first thing it does is to look at its lease.
func (d *drawer) thaw(t *rapid.T) {
	f := d.w.workers[d.worker(t)]
	d.w.lapse(f)

	f.frozen = false
}

func (d *drawer) restart(t *rapid.T)    { d.w.restart(d.worker(t), rapid.Bool().Draw(t, "ghost")) }
func (d *drawer) cut(t *rapid.T)        { d.w.links[d.scheduler(t)].cut = true }
func (d *drawer) mend(t *rapid.T)       { d.w.links[d.scheduler(t)].cut = false }
func (d *drawer) loseAnswer(t *rapid.T) { d.w.links[d.scheduler(t)].loseAnswer = true }

// quietLeader leaves the active scheduler without renewals while it goes on
// answering workers, until the other has taken over.
func (d *drawer) quietLeader(t *rapid.T) {
	at := d.scheduler(t)
	other := 1 - at

	for range 16 {
		d.w.renew(other, 0)
		d.w.follow(other)
		d.w.plan(other)
		d.w.heartbeat(d.worker(t), rapid.IntRange(0, 1).Draw(t, "to"), 0, false)
		d.w.pass(250 * time.Millisecond)
	}
}

func TestNewSchedulerStopsNothing(t *testing.T) {
	w := newWorld(t)
	w.submit("service", mill.KindService, 3)
	w.heal(8 * time.Second)

	running := func() int {
		count := 0
		for _, f := range w.workers {
			count += len(f.running)
		}

		return count
	}

	assert.Equal(t, running(), 3)

	before := make(map[string]int)
	for _, f := range w.workers {
		before[f.id] = len(f.running)
	}

	active := 0
	if w.schedulers[1].active {
		active = 1
	}

	w.links[active].cut = true

	for range 40 {
		w.renew(1-active, 0)
		w.follow(1 - active)
		w.plan(1 - active)

		for worker := range w.workers {
			w.heartbeat(worker, active, 0, false)
			w.heartbeat(worker, 1-active, 0, false)
		}

		w.pass(250 * time.Millisecond)
	}

	assert.Assert(t, w.schedulers[1-active].active)

	for _, f := range w.workers {
		assert.Equal(t, len(f.running), before[f.id], f.id)
	}
}

// TestWorkerAdmittedAfterWaitIsHeard has a worker come back without its tasks
// just when a new scheduler has waited long enough to admit it. The worker is
// given its tasks again, so it must count as heard, or they would be given to
// another worker as well.
func TestWorkerAdmittedAfterWaitIsHeard(t *testing.T) {
	w := newWorld(t)
	w.submit("job", mill.KindBatch, 1)
	w.heal(8 * time.Second)

	holder := 0
	for i, f := range w.workers {
		if len(f.running) > 0 {
			holder = i
		}
	}

	next := 0
	if w.schedulers[0].active {
		next = 1
	}

	w.links[1-next].cut = true
	w.restart(holder, false)

	for !w.schedulers[next].active || !w.schedulers[next].settled() {
		w.renew(next, 0)
		w.follow(next)
		w.pass(100 * time.Millisecond)
	}

	w.heartbeat(holder, next, 0, false)

	known := w.schedulers[next].mirror.worker(w.workers[holder].id)
	assert.Equal(t, known.heard, w.clock)
	assert.Equal(t, known.incarnation, w.workers[holder].incarnation)
	assert.Equal(t, len(w.workers[holder].running), 1)

	w.plan(next)
	w.heartbeat((holder+1)%len(w.workers), next, 0, false)
	w.check()
}
