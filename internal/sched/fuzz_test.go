package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestFuzzOnePlace draws frozen and restarted workers, lost replies, late reads and schedulers that
// replace each other. It checks that no task ever runs in two places, that no worker exceeds its
// capacity, and that every job completes once the faults are over.
func TestFuzzOnePlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.heal(time.Duration(rapid.SampledFrom([]int{0, 4, 8}).Draw(t, "start")) * time.Second)

		draw := &generator{w: w}

		t.Repeat(map[string]func(*rapid.T){
			"submit":      draw.submit,
			"cancel":      draw.cancel,
			"steps":       draw.steps,
			"moreSteps":   draw.steps,
			"pass":        draw.advance,
			"renew":       draw.renew,
			"read":        draw.read,
			"merge":       func(*rapid.T) { w.mergeOldest() },
			"plan":        draw.plan,
			"heartbeat":   draw.heartbeat,
			"heartbeats":  draw.heartbeat,
			"finish":      draw.finish,
			"freeze":      draw.freeze,
			"thaw":        draw.resume,
			"restart":     draw.restart,
			"resign":      func(t *rapid.T) { w.resign(draw.scheduler(t)) },
			"cut":         draw.disconnect,
			"mend":        draw.reconnect,
			"loseAnswer":  draw.loseNextReply,
			"quietLeader": draw.partitionLeader,
		})

		w.checkAllCompleted()
	})
}

// checkAllCompleted finishes all runs repeatedly and expects every job to complete.
func (w *world) checkAllCompleted() {
	w.heal(12 * time.Second)

	for range 60 {
		for worker := range w.workers {
			for range workerCores {
				w.finish(worker, mill.TaskDone)
			}
		}

		w.step()
		w.advance(250 * time.Millisecond)
	}

	changed, _ := w.ledger.state.Changes(0, 1000, w.ledger.index)
	for i := range changed {
		if !changed[i].Final() {
			w.t.Fatalf("job %s has not completed: %+v: %s", changed[i].ID, changed[i].Tasks, w.describe())
		}
	}
}

// generator draws the actions of a test and applies them to a world.
type generator struct {
	w    *world
	jobs int
}

func (g *generator) worker(t *rapid.T) int {
	return rapid.IntRange(0, len(g.w.workers)-1).Draw(t, "worker")
}

func (g *generator) scheduler(t *rapid.T) int {
	return rapid.IntRange(0, len(g.w.schedulers)-1).Draw(t, "scheduler")
}

func (g *generator) submit(t *rapid.T) {
	kinds := []mill.JobKind{mill.KindBatch, mill.KindAllAtOnce, mill.KindService}

	if g.jobs < 8 {
		g.jobs++
		g.w.submit(fmt.Sprintf("job%d", g.jobs), rapid.SampledFrom(kinds).Draw(t, "kind"),
			rapid.IntRange(1, 6).Draw(t, "tasks"))
	}
}

func (g *generator) cancel(t *rapid.T) {
	if g.jobs > 0 && rapid.IntRange(0, 3).Draw(t, "seldom") == 0 {
		g.w.cancel(fmt.Sprintf("job%d", rapid.IntRange(1, g.jobs).Draw(t, "job")))
	}
}

func (g *generator) steps(t *rapid.T) {
	for range rapid.SampledFrom([]int{1, 2, 4, 16}).Draw(t, "steps") {
		g.w.step()
		g.w.advance(250 * time.Millisecond)
	}
}

func (g *generator) advance(t *rapid.T) {
	g.w.advance(time.Duration(rapid.SampledFrom([]int{10, 200, 900, 2100, 3200}).Draw(t, "milli")) * time.Millisecond)
}

func (g *generator) delay(t *rapid.T) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 0, 100, 800, 2500}).Draw(t, "delay")) * time.Millisecond
}

func (g *generator) renew(t *rapid.T) { g.w.renew(g.scheduler(t), g.delay(t)) }
func (g *generator) read(t *rapid.T)  { g.w.read(g.scheduler(t)) }
func (g *generator) plan(t *rapid.T)  { g.w.plan(g.scheduler(t)) }

func (g *generator) heartbeat(t *rapid.T) {
	g.w.heartbeat(g.worker(t), g.scheduler(t), g.delay(t), rapid.IntRange(0, 3).Draw(t, "lost") == 0)
}

func (g *generator) finish(t *rapid.T) {
	states := []mill.TaskState{mill.TaskDone, mill.TaskDone, mill.TaskFailed}
	g.w.finish(g.worker(t), rapid.SampledFrom(states).Draw(t, "state"))
}

func (g *generator) freeze(t *rapid.T) { g.w.workers[g.worker(t)].frozen = true }

// resume unfreezes a worker, which checks its lease first.
func (g *generator) resume(t *rapid.T) {
	f := g.w.workers[g.worker(t)]
	g.w.enforceLease(f)

	f.frozen = false
}

func (g *generator) restart(t *rapid.T)       { g.w.restart(g.worker(t), rapid.Bool().Draw(t, "ghost")) }
func (g *generator) disconnect(t *rapid.T)    { g.w.links[g.scheduler(t)].unreachable = true }
func (g *generator) reconnect(t *rapid.T)     { g.w.links[g.scheduler(t)].unreachable = false }
func (g *generator) loseNextReply(t *rapid.T) { g.w.links[g.scheduler(t)].loseNextReply = true }

// partitionLeader keeps one scheduler, which may be active, from renewing its lease while it still
// answers workers, for long enough that the other takes over.
func (g *generator) partitionLeader(t *rapid.T) {
	at := g.scheduler(t)
	other := 1 - at

	for range 16 {
		g.w.renew(other, 0)
		g.w.follow(other)
		g.w.plan(other)
		g.w.heartbeat(g.worker(t), rapid.IntRange(0, 1).Draw(t, "to"), 0, false)
		g.w.advance(250 * time.Millisecond)
	}
}

// TestNewSchedulerStopsNothing cuts the active scheduler off from the ledger while it and its successor
// both answer workers, and expects every run to continue through the takeover.
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

	w.links[active].unreachable = true

	for range 40 {
		w.renew(1-active, 0)
		w.follow(1 - active)
		w.plan(1 - active)

		for worker := range w.workers {
			w.heartbeat(worker, active, 0, false)
			w.heartbeat(worker, 1-active, 0, false)
		}

		w.advance(250 * time.Millisecond)
	}

	assert.Assert(t, w.schedulers[1-active].active)

	for _, f := range w.workers {
		assert.Equal(t, len(f.running), before[f.id], f.id)
	}
}

// TestWorkerAdmittedAfterWaitIsHeard restarts a worker, whose first heartbeat arrives just when a new
// scheduler has waited long enough to admit it without its tasks. The worker is ordered to run them
// again, so its heartbeat must be recorded; otherwise it would count as lost and the tasks would be
// placed on another worker too.
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

	w.links[1-next].unreachable = true
	w.restart(holder, false)

	for !w.schedulers[next].active || !w.schedulers[next].earlierLeasesExpired() {
		w.renew(next, 0)
		w.follow(next)
		w.advance(100 * time.Millisecond)
	}

	w.heartbeat(holder, next, 0, false)

	known := w.schedulers[next].mirror.worker(w.workers[holder].id)
	assert.Equal(t, known.lastHeartbeat, w.clock)
	assert.Equal(t, known.incarnation, w.workers[holder].incarnation)
	assert.Equal(t, len(w.workers[holder].running), 1)

	w.plan(next)
	w.heartbeat((holder+1)%len(w.workers), next, 0, false)
	w.check()
}
