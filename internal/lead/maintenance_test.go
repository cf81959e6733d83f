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

const simMaintenanceTime = 2 * time.Second

// provider simulates the provider's API, with one machine for each worker.
type provider struct {
	sim       *simulation
	workers   map[string]*executor
	downUntil map[string]time.Time
	// begun counts the maintenance of each wave and machine.
	begun map[[2]string]int
	waves []*mill.Wave
	// exceeded says that more machines of a wave were down than it allows.
	exceeded bool
	// losesReplies makes the reply to every second order be lost.
	losesReplies bool
	orders       int
	maxDown      int
	// listDelay is how long the provider takes to answer with a list, which it makes when the request arrives.
	listDelay time.Duration
	// lostEnds holds the tasks whose ends as done were not read before their machines went down, with the ends of the leases.
	lostEnds map[mill.TaskID]time.Time
	// starts counts the starts of each task.
	starts map[mill.TaskID]int
}

func newProvider(sim *simulation) *provider {
	p := &provider{
		sim: sim, workers: make(map[string]*executor), downUntil: make(map[string]time.Time), begun: make(map[[2]string]int),
		lostEnds: make(map[mill.TaskID]time.Time), starts: make(map[mill.TaskID]int),
	}

	for _, e := range sim.executors {
		p.workers["m-"+e.id] = e
	}

	return p
}

func (p *provider) machines() []mill.Machine {
	var list []mill.Machine

	for id, e := range p.workers {
		machine := mill.Machine{ID: id, Service: "pool", State: mill.MachineUp, Worker: e.id}
		if p.sim.now.Before(p.downUntil[id]) {
			machine.State, machine.Worker = mill.MachineInMaintenance, ""
		}

		list = append(list, machine)
	}

	return list
}

// startMaintenance shuts down a machine's worker, and starts a new worker two seconds later.
func (p *provider) startMaintenance(machine string, number int) {
	key := [2]string{machine, strconv.Itoa(number)}
	if p.begun[key] > 0 {
		return
	}

	p.begun[key]++
	p.downUntil[machine] = p.sim.now.Add(simMaintenanceTime)

	for _, wave := range p.waves {
		if slices.Contains(wave.Machines, machine) {
			p.maxDown = max(p.maxDown, p.down(wave))
			p.exceeded = p.exceeded || p.down(wave) > wave.MaxAtOnce
		}
	}

	old := p.workers[machine]
	old.up = false
	p.recordLostEnds(old)

	p.sim.after(simMaintenanceTime, func() { p.replaceWorker(machine) })
}

// recordLostEnds records the ends that a worker has not been acknowledged when its machine goes down.
func (p *provider) recordLostEnds(e *executor) {
	left := float64(e.leaseEndMilli-e.clock()) / (1 - e.drift)

	for i := range e.finished {
		if e.finished[i].Cause == mill.FinishDone {
			p.lostEnds[e.finished[i].Task] = p.sim.now.Add(time.Duration(left) * time.Millisecond)
		}
	}
}

// checkStart counts a start, and checks that a task whose end was lost with its machine does not start before the lease has
// passed.
func (p *provider) checkStart(task mill.TaskID) {
	p.starts[task]++

	if until, lost := p.lostEnds[task]; lost && p.sim.now.Before(until) {
		p.sim.t.Fatalf("%s: task %s starts after it was done, %s before the lease ends", p.sim.elapsed(), task,
			until.Sub(p.sim.now))
	}
}

// replaceWorker starts a new worker on a machine whose worker has ended.
func (p *provider) replaceWorker(machine string) {
	old := p.workers[machine]
	id := old.id + "b"
	e := &executor{sim: p.sim, id: id, address: id, capacity: old.capacity, rack: old.rack, pool: old.pool, up: true}
	e.restart()
	p.sim.executors = append(p.sim.executors, e)
	p.workers[machine] = e
	p.sim.sendReports(e)
}

// addMachine adds a machine with a worker.
func (p *provider) addMachine(index int) {
	p.sim.addExecutor(index)
	e := p.sim.executors[len(p.sim.executors)-1]
	p.workers["m-"+e.id] = e
}

// down counts the machines of a wave that are down.
func (p *provider) down(wave *mill.Wave) int {
	down := 0

	for _, id := range wave.Machines {
		if p.sim.now.Before(p.downUntil[id]) {
			down++
		}
	}

	return down
}

// carryOut answers the scheduler's calls to the provider.
func (p *provider) carryOut(actions *Actions) {
	scheduler, requestedAt := p.sim.leader.scheduler, p.sim.now

	if actions.ListMachines {
		list := p.machines()
		p.sim.after(max(p.listDelay, 20*time.Millisecond), func() { scheduler.MachinesListed(list, requestedAt) })
	}

	for i := range actions.Maintenance {
		order := &actions.Maintenance[i]
		outcome := mill.MaintenanceBegun
		p.orders++
		p.startMaintenance(order.Machine, order.Wave)

		if p.losesReplies && p.orders%2 == 0 {
			outcome = mill.MaintenanceUnanswered
		}

		p.sim.after(20*time.Millisecond, func() { scheduler.MaintenanceAnswered(order, outcome, p.sim.now) })
	}
}

func startWave(sim *simulation, number, first, machines, atOnce int, duration time.Duration) {
	wave := &mill.Wave{Number: number, Duration: duration, MaxAtOnce: atOnce}
	for i := range machines {
		wave.Machines = append(wave.Machines, fmt.Sprintf("m-x%02d", first+i))
	}

	sim.state.Apply(&jobs.Command{StartWave: wave})
	sim.provider.waves = append(sim.provider.waves, wave)
}

// TestWave runs a maintenance wave over a busy pool, with a provider whose replies get lost. It
// expects each machine to be maintained once, no more machines down than the wave allows, the wave
// to complete in time, and the job to complete in the end.
func TestWave(t *testing.T) {
	sim := newSimulation(t, nil, 8)
	sim.provider = newProvider(sim)
	sim.provider.losesReplies = true
	sim.submit("job", "free", 2*time.Second, mill.Step{
		Count: 24, Checkpointing: true, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	})
	sim.run(time.Second)
	startWave(sim, 1, 0, 8, 2, 20*time.Second)
	sim.run(20 * time.Second)

	wave, _ := sim.state.Wave(1)
	assert.Assert(t, wave.Complete(), "settled %v", wave.Settled)
	assert.Equal(t, len(sim.provider.begun), 8)
	assert.Equal(t, sim.provider.maxDown, 2)

	sim.run(20 * time.Second)

	job, _ := sim.state.Job("job")
	assert.Equal(t, job.State(), mill.JobCompleted)
}

// TestWaveGoesOnUnderAnotherLeader changes the leader while machines are down. It expects the next
// leader to count them, and the wave to complete.
func TestWaveGoesOnUnderAnotherLeader(t *testing.T) {
	sim := newSimulation(t, nil, 8)
	sim.provider = newProvider(sim)
	sim.run(time.Second)
	startWave(sim, 1, 0, 8, 2, 20*time.Second)

	for len(sim.provider.begun) < 8 {
		sim.run(700 * time.Millisecond)
		sim.newLeader()
	}

	assert.Equal(t, sim.provider.maxDown, 2)
	sim.run(5 * time.Second)

	wave, _ := sim.state.Wave(1)
	assert.Assert(t, wave.Complete(), "settled %v", wave.Settled)
}

// TestWavesShareMachines runs two waves that have machines in common. It expects neither to have
// more of its machines down than it allows, and both to complete.
func TestWavesShareMachines(t *testing.T) {
	sim := newSimulation(t, nil, 8)
	sim.provider = newProvider(sim)
	sim.run(time.Second)
	startWave(sim, 1, 0, 6, 2, 20*time.Second)
	startWave(sim, 2, 3, 5, 1, 20*time.Second)
	sim.run(40 * time.Second)

	assert.Assert(t, !sim.provider.exceeded)

	for number := 1; number <= 2; number++ {
		wave, _ := sim.state.Wave(number)
		assert.Assert(t, wave.Complete(), "wave %d settled %v", number, wave.Settled)
	}
}

// TestWaveSparesTasksThatMustNotBeMissed runs a wave that allows three of four machines to be down,
// over the three tasks of a long-running step of which one may be unavailable at a time. It expects
// the wave to keep to that, and to complete.
func TestWaveSparesTasksThatMustNotBeMissed(t *testing.T) {
	const tasks = 3

	sim := servingSimulation(t, 4, tasks)
	startWave(sim, 1, 0, 4, 3, 30*time.Second)
	sim.runServing(t, 30*time.Second, tasks)

	wave, _ := sim.state.Wave(1)
	assert.Assert(t, wave.Complete(), "settled %v", wave.Settled)
}
