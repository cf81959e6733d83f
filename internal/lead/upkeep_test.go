package lead

import (
	"fmt"
	"slices"
	"strconv"
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
	// begun counts the upkeeps by wave and machine.
	begun map[[2]string]int
	waves []*mill.Wave
	// broken says that more machines of a wave were down than it allows.
	broken bool
	// lost makes each second answer to an order be lost.
	lost   bool
	orders int
	most   int
}

func newProvider(w *world) *provider {
	p := &provider{
		w: w, lives: make(map[string]*executor), until: make(map[string]time.Time), begun: make(map[[2]string]int),
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
			machine.State, machine.Worker = mill.MachineInMaintenance, ""
		}

		list = append(list, machine)
	}

	return list
}

// upkeep ends the life on a machine, and begins another one two seconds later.
func (p *provider) upkeep(machine string, number int) {
	key := [2]string{machine, strconv.Itoa(number)}
	if p.begun[key] > 0 {
		return
	}

	p.begun[key]++
	p.until[machine] = p.w.now.Add(worldUpkeep)

	for _, wave := range p.waves {
		if slices.Contains(wave.Machines, machine) {
			p.most = max(p.most, p.down(wave))
			p.broken = p.broken || p.down(wave) > wave.MaxAtOnce
		}
	}

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

// down counts the machines of a wave that are down.
func (p *provider) down(wave *mill.Wave) int {
	down := 0

	for _, id := range wave.Machines {
		if p.w.now.Before(p.until[id]) {
			down++
		}
	}

	return down
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
		outcome := mill.MaintenanceBegun
		p.orders++
		p.upkeep(order.Machine, order.Wave)

		if p.lost && p.orders%2 == 0 {
			outcome = mill.MaintenanceUnanswered
		}

		p.w.after(20*time.Millisecond, func() { scheduler.UpkeepAnswered(order, outcome, p.w.now) })
	}
}

func startWave(w *world, number, first, machines, atOnce int, duration time.Duration) {
	wave := &mill.Wave{Number: number, Duration: duration, MaxAtOnce: atOnce}
	for i := range machines {
		wave.Machines = append(wave.Machines, fmt.Sprintf("m-x%02d", first+i))
	}

	w.state.Apply(&jobs.Command{StartWave: wave})
	w.provider.waves = append(w.provider.waves, wave)
}

// TestWave plays a wave over a pool at work whose provider loses answers. It expects each
// machine to have its upkeep once, no more of them down than the wave allows, the wave
// complete in time, and the work done in the end.
func TestWave(t *testing.T) {
	w := newWorld(t, nil, 8)
	w.provider = newProvider(w)
	w.provider.lost = true
	w.submit("job", "free", 2*time.Second, mill.Step{
		Count: 24, Checkpointing: true, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	})
	w.run(time.Second)
	startWave(w, 1, 0, 8, 2, 20*time.Second)
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
	startWave(w, 1, 0, 8, 2, 20*time.Second)

	for len(w.provider.begun) < 8 {
		w.run(700 * time.Millisecond)
		w.newLeader()
	}

	assert.Equal(t, w.provider.most, 2)
	w.run(5 * time.Second)

	wave, _ := w.state.Wave(1)
	assert.Assert(t, wave.Complete(), "settled %v", wave.Settled)
}

// TestWavesShareMachines plays two waves that have machines in common. It expects neither to have
// more of its machines down than it allows, and both to become complete.
func TestWavesShareMachines(t *testing.T) {
	w := newWorld(t, nil, 8)
	w.provider = newProvider(w)
	w.run(time.Second)
	startWave(w, 1, 0, 6, 2, 20*time.Second)
	startWave(w, 2, 3, 5, 1, 20*time.Second)
	w.run(40 * time.Second)

	assert.Assert(t, !w.provider.broken)

	for number := 1; number <= 2; number++ {
		wave, _ := w.state.Wave(number)
		assert.Assert(t, wave.Complete(), "wave %d settled %v", number, wave.Settled)
	}
}

// TestWaveSparesTasksThatMustNotBeMissed plays a wave over machines that hold the tasks of a
// lasting step, of which one may be away at a time.
func TestWaveSparesTasksThatMustNotBeMissed(t *testing.T) {
	w := newWorld(t, nil, 4)
	w.provider = newProvider(w)
	w.submit("serving", "free", time.Second, mill.Step{
		Count: 3, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	})
	w.run(2 * time.Second)
	startWave(w, 1, 0, 4, 3, 30*time.Second)

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
