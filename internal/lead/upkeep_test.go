package lead

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const worldUpkeep = 2 * time.Second

// provider plays the machines of a world: one for each of its workers.
type provider struct {
	w     *world
	lives map[string]*executor
	until map[string]time.Time
	begun map[string]int
	// lost makes each second answer to an order be lost.
	lost   bool
	orders int
	most   int
}

func newProvider(w *world) *provider {
	p := &provider{
		w: w, lives: make(map[string]*executor), until: make(map[string]time.Time), begun: make(map[string]int),
	}

	for _, e := range w.executors {
		p.lives["m-"+e.id] = e
	}

	return p
}

func (p *provider) machines() []mill.Machine {
	var list []mill.Machine

	for id, e := range p.lives {
		machine := mill.Machine{ID: id, Service: "pool", State: mill.MachineUp, Worker: e.id}
		if p.w.now.Before(p.until[id]) {
			machine.State, machine.Worker = mill.MachineUpkeep, ""
		}

		list = append(list, machine)
	}

	return list
}

// upkeep ends the life on a machine, and begins another one two seconds later.
func (p *provider) upkeep(machine string) {
	if p.begun[machine] > 0 {
		return
	}

	p.begun[machine]++
	p.until[machine] = p.w.now.Add(worldUpkeep)

	down := 0

	for _, until := range p.until {
		if p.w.now.Before(until) {
			down++
		}
	}

	p.most = max(p.most, down)

	old := p.lives[machine]
	old.up = false

	p.w.after(worldUpkeep, func() {
		e := &executor{w: p.w, id: old.id + "b", capacity: old.capacity, rack: old.rack, up: true}
		e.reset()
		p.w.executors = append(p.w.executors, e)
		p.lives[machine] = e
		p.w.beat(e)
	})
}

// carryOut answers what the scheduler wants of the provider.
func (p *provider) carryOut(actions *Actions) {
	scheduler, asked := p.w.leader.scheduler, p.w.now

	if actions.ListMachines {
		list := p.machines()
		p.w.after(20*time.Millisecond, func() { scheduler.MachinesListed(list, asked) })
	}

	for i := range actions.Upkeeps {
		order := &actions.Upkeeps[i]
		outcome := mill.UpkeepBegun
		p.orders++
		p.upkeep(order.Machine)

		if p.lost && p.orders%2 == 0 {
			outcome = mill.UpkeepUnanswered
		}

		p.w.after(20*time.Millisecond, func() { scheduler.UpkeepAnswered(order, outcome, p.w.now) })
	}
}

func startWave(w *world, machines, atOnce int, duration time.Duration) {
	wave := &mill.Wave{Number: 1, Duration: duration, MaxAtOnce: atOnce}
	for i := range machines {
		wave.Machines = append(wave.Machines, fmt.Sprintf("m-x%02d", i))
	}

	w.state.Apply(&jobs.Command{StartWave: wave})
}

// TestWave plays a wave over a pool at work whose provider loses answers. It expects each
// machine to have its upkeep once, no more of them down than the wave allows, the wave
// complete in time, and the work done in the end.
func TestWave(t *testing.T) {
	w := newWorld(t, nil, 8)
	w.provider = newProvider(w)
	w.provider.lost = true
	w.submit("job", "free", 2*time.Second, mill.Step{
		Count: 24, Checkpointing: true, Each: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	})
	w.run(time.Second)
	startWave(w, 8, 2, 20*time.Second)
	w.run(20 * time.Second)

	wave, _ := w.state.Wave(1)
	assert.Assert(t, wave.Complete(), "settled %v", wave.Settled)
	assert.Equal(t, len(w.provider.begun), 8)
	assert.Equal(t, w.provider.most, 2)

	w.run(20 * time.Second)

	job, _ := w.state.Job("job")
	assert.Equal(t, job.State(), mill.JobCompleted)
}

// TestWaveGoesOnUnderAnotherLeader changes the leader while machines are down. It expects the
// next one to count them, and the wave to become complete.
func TestWaveGoesOnUnderAnotherLeader(t *testing.T) {
	w := newWorld(t, nil, 8)
	w.provider = newProvider(w)
	w.run(time.Second)
	startWave(w, 8, 2, 20*time.Second)

	for len(w.provider.begun) < 8 {
		w.run(700 * time.Millisecond)
		w.newLeader()
	}

	assert.Equal(t, w.provider.most, 2)
	w.run(5 * time.Second)

	wave, _ := w.state.Wave(1)
	assert.Assert(t, wave.Complete(), "settled %v", wave.Settled)
}

// TestWaveSparesTasksThatMustNotBeMissed plays a wave over machines that hold the tasks of a
// lasting step, of which one may be away at a time.
func TestWaveSparesTasksThatMustNotBeMissed(t *testing.T) {
	w := newWorld(t, nil, 4)
	w.provider = newProvider(w)
	w.submit("serving", "free", time.Second, mill.Step{
		Count: 3, Lasting: true, MayMiss: 1, MaxPerWorker: 1, Each: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	})
	w.run(2 * time.Second)
	startWave(w, 4, 3, 30*time.Second)

	for range 3000 {
		w.run(worldStep)

		away := 3
		for _, e := range w.executors {
			if e.up {
				away -= len(e.running)
			}
		}

		assert.Assert(t, away <= 1, "%d of three tasks are away", away)
	}

	wave, _ := w.state.Wave(1)
	assert.Assert(t, wave.Complete(), "settled %v", wave.Settled)
}
