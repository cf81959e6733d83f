package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// leavingSimulation returns a simulation of two executors and the one of them that runs a long-running task.
func leavingSimulation(t *testing.T) (*simulation, *executor) {
	t.Helper()

	sim := newSimulation(t, nil, 2)
	sim.submit("job", "free", longerThanTest, mill.Step{
		Count: 1, PerTask: mill.Resources{MilliCores: 1000, MemoryMiB: 1000}, LongRunning: true,
	})
	sim.run(2 * time.Second)

	for _, e := range sim.executors {
		if len(e.running) == 1 {
			return sim, e
		}
	}

	t.Fatal("the task does not run")

	return nil, nil
}

// runningOn returns the executors that run tasks.
func (sim *simulation) runningOn() []string {
	var ids []string

	for _, e := range sim.executors {
		if e.up && len(e.running) > 0 {
			ids = append(ids, e.id)
		}
	}

	return ids
}

// TestAnnouncedShutdownIsNoEnd guards against a worker that was taken for ended because one process had read its
// announcement: if the answer is lost, the worker runs on, and its task must not start elsewhere before it has ended.
// Simulations check that at each start.
func TestAnnouncedShutdownIsNoEnd(t *testing.T) {
	for _, runsOn := range []time.Duration{0, 700 * time.Millisecond, 4 * time.Second} {
		sim, e := leavingSimulation(t)
		e.leaveAfter(runsOn)

		if runsOn > 0 {
			sim.run(runsOn - 2*simStep)
			assert.DeepEqual(t, sim.runningOn(), []string{e.id})
		}

		sim.run(time.Second)
		assert.Equal(t, len(sim.runningOn()), 1, "%s", runsOn)
		assert.Assert(t, sim.runningOn()[0] != e.id, "%s", runsOn)
	}
}

// TestSilentWorkerThatHasLeft cuts a worker off that has announced its shutdown, and expects its task to start elsewhere
// only when its lease has expired.
func TestSilentWorkerThatHasLeft(t *testing.T) {
	sim, e := leavingSimulation(t)
	e.leaveAfter(longerThanTest)
	sim.run(time.Second)

	e.disconnected = true

	sim.run(defaultLease + 2*time.Second)
	assert.Equal(t, len(sim.runningOn()), 1)
	assert.Assert(t, sim.runningOn()[0] != e.id)
}

// TestLateShutdownOfEarlierIncarnation guards against an announcement that is read after the worker has started again
// under its id: the runs of the new incarnation have not ended.
func TestLateShutdownOfEarlierIncarnation(t *testing.T) {
	sim, e := leavingSimulation(t)

	for _, other := range sim.executors {
		if other != e {
			other.disconnected = true // The task can only come back to the same worker.
		}
	}

	e.crash()
	sim.run(2 * minRestartTime)
	e.comeBack()
	sim.run(2 * defaultLease)
	assert.DeepEqual(t, sim.runningOn(), []string{e.id})

	for _, other := range sim.executors {
		other.disconnected = false
	}

	sim.run(2 * simReportInterval)
	e.announceShutdown()
	sim.run(2 * simReportInterval)
	assert.DeepEqual(t, sim.runningOn(), []string{e.id})
	assert.Assert(t, sim.leader.scheduler.workers[e.id].usable(sim.now))
}

// TestLeaseOfLeavingWorkerOutlastsItsLeader guards against a new leader that takes the leases of an earlier one for expired.
func TestLeaseOfLeavingWorkerOutlastsItsLeader(t *testing.T) {
	sim := newSimulation(t, nil, 2)
	sim.submit("job", "free", longerThanTest, shortStep(1))
	sim.run(time.Second)

	e := sim.executorOf(firstTask("job"))

	sim.newLeader()
	e.leaveAfter(simMaxLease)
	sim.run(100 * time.Millisecond)

	e.mute = true

	sim.run(simMaxLease / 2)
	assert.Equal(t, sim.executorOf(firstTask("job")), e)
}
