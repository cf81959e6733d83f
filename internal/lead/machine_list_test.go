package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// servingStep is a long-running step of which one task may be unavailable.
func servingStep(count int) mill.Step {
	return mill.Step{
		Count: count, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1,
		PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100},
	}
}

// servingSimulation returns a simulation of executors with a provider, on which the tasks of a serving step run.
func servingSimulation(t *testing.T, executors, tasks int) *simulation {
	t.Helper()

	sim := newSimulation(t, nil, executors)
	sim.provider = newProvider(sim)
	sim.submit("serving", "free", time.Second, servingStep(tasks))
	sim.run(3 * time.Second)

	return sim
}

// runServing lets time pass, and checks that at most one task of a serving step is unavailable.
func (sim *simulation) runServing(t *testing.T, length time.Duration, count int) {
	t.Helper()

	for range length / simStep {
		sim.run(simStep)

		unavailable := count
		for _, e := range sim.executors {
			if e.up {
				unavailable -= len(e.running)
			}
		}

		assert.Assert(t, unavailable <= 1, "%s: %d of %d tasks are unavailable", sim.elapsed(), unavailable, count)
	}
}

// TestMachineAddedBeforeItsWave guards against a wave that is completed without the maintenance of a machine that was added
// after the provider's machines were last listed: after the wave before, or while a slow provider answers.
func TestMachineAddedBeforeItsWave(t *testing.T) {
	for _, listDelay := range []time.Duration{0, time.Second} {
		sim := newSimulation(t, nil, 4)
		sim.provider = newProvider(sim)
		sim.run(time.Second)

		startWave(sim, 1, 0, 1, 1, 20*time.Second)
		sim.run(4 * time.Second)

		wave, _ := sim.state.Wave(1)
		assert.Assert(t, wave.Complete())

		// A wave that is not complete keeps the list coming.
		sim.provider.listDelay = listDelay
		if listDelay > 0 {
			startWave(sim, 2, 1, 3, 1, 30*time.Second)
			sim.run(listDelay / 2)
		}

		sim.provider.addMachine(4)
		sim.run(100 * time.Millisecond)
		startWave(sim, 3, 4, 1, 1, 20*time.Second)
		sim.run(60 * time.Second)

		wave, _ = sim.state.Wave(3)
		assert.Assert(t, wave.Complete())
		assert.Equal(t, sim.provider.begun[[2]string{"m-x04", "3"}], 1)
	}
}

// TestSecondWaveSparesServingTasks guards against a wave that is planned with the workers that the machines had at the wave
// before: their machines seemed idle, and all tasks of a step were interrupted at once.
func TestSecondWaveSparesServingTasks(t *testing.T) {
	const tasks = 4

	sim := servingSimulation(t, tasks, tasks)

	for number := 1; number <= 2; number++ {
		startWave(sim, number, 0, tasks, tasks, 40*time.Second)
		sim.runServing(t, 60*time.Second, tasks)

		wave, _ := sim.state.Wave(number)
		assert.Assert(t, wave.Complete(), "wave %d settled %v", number, wave.Settled)
	}
}

// TestWorkerReplacedWhileItsMachineIsDrained has the worker of a machine that is being drained crash, and another one start
// there and get a task. It guards against an order that interrupts this task because the machine seems idle.
func TestWorkerReplacedWhileItsMachineIsDrained(t *testing.T) {
	const tasks = 3

	sim := servingSimulation(t, tasks, tasks)

	drained, down := sim.executors[0], sim.executors[1]
	down.crash() // With one task away, no other may be interrupted.
	sim.run(2 * defaultLease)
	startWave(sim, 1, 0, 1, 1, 60*time.Second)
	sim.run(time.Second)

	drained.crash()
	sim.provider.replaceWorker("m-x00")
	sim.run(time.Second)

	replacement := sim.executors[tasks]
	assert.Equal(t, len(replacement.running), 1)

	sim.run(2 * defaultLease)
	assert.Equal(t, len(sim.provider.begun), 0)
	assert.Equal(t, len(replacement.running), 1)

	down.comeBack()
	sim.run(30 * time.Second)

	wave, _ := sim.state.Wave(1)
	assert.Assert(t, wave.Complete())
}

// TestBusyMachineMayBeDown has the provider answer that a machine is busy, because an earlier leader's order for it has been
// carried out late. It guards against another order before a list has shown that the machine is down.
func TestBusyMachineMayBeDown(t *testing.T) {
	state := jobs.NewState()
	state.Apply(&jobs.Command{StartWave: &mill.Wave{
		Number: 1, Machines: []string{"a", "b"}, Duration: time.Minute, MaxAtOnce: 1,
	}})

	now := simStart
	scheduler := New(Bounds{}, 1, now, state, nil)
	list := func(down string) {
		now = now.Add(listInterval)
		machines := []mill.Machine{{ID: "a", State: mill.MachineUp}, {ID: "b", State: mill.MachineUp}}

		for i := range machines {
			if machines[i].ID == down {
				machines[i].State = mill.MachineInMaintenance
			}
		}

		scheduler.MachinesListed(machines, now)
	}
	orders := func() []Maintenance {
		var actions Actions

		now = now.Add(simStep)
		scheduler.planMaintenance(&actions, now, state)

		return actions.Maintenance
	}

	orders() // The wave is noticed.

	var sent []Maintenance

	for range 3 {
		list("")

		sent = append(sent, orders()...)
	}

	assert.Equal(t, len(sent), 1)
	scheduler.MaintenanceAnswered(&sent[0], mill.MaintenanceBusy, now)

	for range 3 {
		assert.Equal(t, len(orders()), 0)
		assert.Equal(t, len(scheduler.maintenance), 0)
	}

	list(sent[0].Machine)
	assert.Equal(t, len(orders()), 0)
	assert.Equal(t, len(scheduler.maintenance), 0)
}

// TestNewLeaderListsMachinesAfterItsWait guards against a leader that acts on a list from before HolderLease has passed
// since the earlier leader's last order, which may have been sent shortly after the start of this term: the earlier
// leader's orders may have been carried out since.
func TestNewLeaderListsMachinesAfterItsWait(t *testing.T) {
	const lease = 3 * time.Second

	state := jobs.NewState()
	state.Apply(&jobs.Command{StartWave: &mill.Wave{Number: 1, Machines: []string{"m"}, Duration: time.Minute, MaxAtOnce: 1}})

	scheduler := New(Bounds{HolderLease: lease}, 2, simStart, state, nil)
	listed := []mill.Machine{{ID: "m", State: mill.MachineUp}}

	for _, step := range []struct {
		listedAt time.Duration
		planAt   time.Duration
		drains   int
	}{
		{time.Second, 2 * time.Second, 0},
		{lease + takeoverMargin - simStep, lease + 2*time.Second, 0},
		{lease + takeoverMargin + simStep, lease + 2*time.Second, 1},
	} {
		scheduler.MachinesListed(listed, simStart.Add(step.listedAt))

		var actions Actions

		scheduler.planMaintenance(&actions, simStart.Add(step.planAt), state)
		assert.Equal(t, len(scheduler.maintenance), step.drains, "%s", step.planAt)
	}
}

// TestFirstWaveDoesNotWait guards against a leader that waits for the orders of an earlier one though there was no wave when
// its term began: the wave would be late without need.
func TestFirstWaveDoesNotWait(t *testing.T) {
	state := jobs.NewState()
	scheduler := New(Bounds{HolderLease: 3 * time.Second}, 2, simStart, state, nil)

	state.Apply(&jobs.Command{StartWave: &mill.Wave{Number: 1, Machines: []string{"m"}, Duration: time.Minute, MaxAtOnce: 1}})

	var actions Actions

	scheduler.planMaintenance(&actions, simStart.Add(simStep), state)
	assert.Assert(t, actions.ListMachines)

	scheduler.MachinesListed([]mill.Machine{{ID: "m", State: mill.MachineUp}}, simStart.Add(2*simStep))
	scheduler.planMaintenance(&actions, simStart.Add(3*simStep), state)
	assert.Equal(t, len(scheduler.maintenance), 1)
}
