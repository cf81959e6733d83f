package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// maintainSilentWorker has a task end on a worker that does not answer, begins a wave that orders the maintenance of its
// machine, and lets the worker answer again after a while. It returns the simulation at the end of the job.
func maintainSilentWorker(t *testing.T, silent time.Duration) *simulation {
	t.Helper()

	const duration = 2 * time.Second

	sim := newSimulation(t, nil, 4)
	sim.provider = newProvider(sim)
	sim.submit("job", "free", duration, mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100}})

	var busy *executor

	for busy == nil {
		sim.step()

		for _, e := range sim.executors {
			if len(e.running) > 0 {
				busy = e
			}
		}
	}

	sim.run(duration - 100*time.Millisecond)

	busy.mute = true

	sim.run(200 * time.Millisecond)
	assert.Equal(t, len(busy.running), 0)

	sim.after(silent, func() { busy.mute = false })

	// The first wave leaves no time for draining. The second one goes on after it.
	waves := []*mill.Wave{
		{Number: 1, Machines: []string{"m-" + busy.id}, Duration: 3 * time.Second, MaxAtOnce: 1},
		{Number: 2, Duration: time.Minute, MaxAtOnce: 1},
	}

	for _, e := range sim.executors {
		if e != busy {
			waves[1].Machines = append(waves[1].Machines, "m-"+e.id)
		}
	}

	for _, wave := range waves {
		sim.state.Apply(&jobs.Command{StartWave: wave})
	}

	sim.run(3 * time.Second)

	settled, _ := sim.state.Wave(1)
	assert.Assert(t, settled.Complete())

	sim.run(2 * defaultLease)

	job, _ := sim.state.Job("job")
	assert.Equal(t, job.State(), mill.JobCompleted)

	return sim
}

// TestEndsAreReadBeforeMaintenance guards against an order that ends a worker whose task is done before the leader has asked
// for it: the task ran again.
func TestEndsAreReadBeforeMaintenance(t *testing.T) {
	sim := maintainSilentWorker(t, 500*time.Millisecond)
	assert.Equal(t, sim.provider.starts[mill.StepID{Job: "job"}.Task(0)], 1)
}

// TestUnreadEndWaitsForTheLease guards against a task that is done and runs again at once, because its end was not read
// before the maintenance of its machine: that is known to have ended the worker, but not that it has ended the run.
func TestUnreadEndWaitsForTheLease(t *testing.T) {
	sim := maintainSilentWorker(t, time.Minute)
	assert.Equal(t, sim.provider.starts[mill.StepID{Job: "job"}.Task(0)], 2)
	assert.Equal(t, len(sim.provider.lostEnds), 1)
}

// TestLastMachineOfAWaveIsNotForgotten guards against long-running tasks that wait for the leases of the last machines of a
// wave though the machines are known to be down, because the wave is complete.
func TestLastMachineOfAWaveIsNotForgotten(t *testing.T) {
	const tasks = 1

	sim := servingSimulation(t, 3, tasks)

	var busy *executor

	for _, e := range sim.executors {
		if len(e.running) > 0 {
			busy = e
		}
	}

	wave := &mill.Wave{Number: 1, Machines: []string{"m-" + busy.id}, Duration: 10 * time.Second, MaxAtOnce: 1}
	sim.state.Apply(&jobs.Command{StartWave: wave})

	for busy.up {
		sim.step()
	}

	sim.run(time.Second)

	settled, _ := sim.state.Wave(1)
	assert.Assert(t, settled.Complete())
	assert.Equal(t, sim.running("serving"), tasks, "1 s after the maintenance began")

	sim.run(simMaintenanceTime)
	assert.Equal(t, len(sim.leader.scheduler.maintenance), 0, "the machine is back in service")
}

// TestTaskLostDuringStopsHoldsMaintenanceBack guards against maintenance that makes a second task of a serving step
// unavailable: one was lost while the other runs on the machine were being stopped.
func TestTaskLostDuringStopsHoldsMaintenanceBack(t *testing.T) {
	sim := servingSimulation(t, 3, 2)
	sim.submit("batch", "free", time.Minute,
		mill.Step{Count: 3, MaxPerWorker: 1, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 100}})
	sim.run(2 * time.Second)

	var serving []*executor

	for _, e := range sim.executors {
		if len(e.running) == 2 {
			serving = append(serving, e)
		}
	}

	assert.Equal(t, len(serving), 2)

	machine := "m-" + serving[0].id
	wave := &mill.Wave{Number: 1, Machines: []string{machine}, Duration: 3 * time.Second, MaxAtOnce: 1}
	sim.state.Apply(&jobs.Command{StartWave: wave})

	scheduler := sim.leader.scheduler
	for m := scheduler.maintenance[machine]; m == nil || m.dueSince.IsZero(); m = scheduler.maintenance[machine] {
		sim.step()
	}

	serving[1].mute = true
	scheduler.workers[serving[1].id].failedRenewals = 1

	sim.run(2 * time.Second)
	assert.Assert(t, serving[0].up, "both tasks of the step are unavailable")

	serving[1].mute = false

	sim.run(2 * time.Second)
	assert.Assert(t, !serving[0].up)
}

// running counts the runs of a job.
func (sim *simulation) running(job string) int {
	count := 0

	for _, e := range sim.executors {
		for task := range e.running {
			if e.up && task.Job == job {
				count++
			}
		}
	}

	return count
}
