package lead

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// gangJob is the job with the failing gang.
const gangJob = "0000000000000001"

// gangStep returns a step that is a gang.
func gangStep(members int, milliCores int64) mill.Step {
	return mill.Step{Count: members, Gang: true, PerTask: mill.Resources{MilliCores: milliCores, MemoryMiB: 100}}
}

// awaitGang runs the simulation until all members of a gang run, and returns them.
func (sim *simulation) awaitGang(t *testing.T, task mill.TaskID) []*execution {
	t.Helper()

	for range 6000 {
		for _, e := range sim.executors {
			if a, ok := e.running[task]; ok && a.end == nil && sim.gangComplete(a) {
				return sim.gangMembers(a)
			}
		}

		sim.step()
	}

	t.Fatalf("%s: the gang of %s does not run\n%s", sim.elapsed(), task, sim.explain(task.Job))

	return nil
}

// failAll has all members of a gang's run end as failed, the first one now and each other one after the one before.
func (sim *simulation) failAll(members []*execution, apart time.Duration) {
	for i, member := range members {
		member.end = &memberEnd{at: sim.now.Add(time.Duration(i) * apart), cause: mill.FinishFailed}
	}
}

// TestGangRunThatFailsInSeveralMembersIsOneAttempt guards against a run that uses up an attempt for each member that fails.
func TestGangRunThatFailsInSeveralMembersIsOneAttempt(t *testing.T) {
	const members = 4

	for _, milliCores := range []int64{simCapacity / members, simCapacity} {
		for _, apart := range []time.Duration{0, simStep, simCloseEnds} {
			t.Run(fmt.Sprintf("%d on one executor, %s apart", simCapacity/milliCores, apart), func(t *testing.T) {
				sim := newSimulation(t, nil, 6)
				sim.submit(gangJob, "free", time.Second, gangStep(members, milliCores))

				attempts := sim.queue(gangJob).MaxAttempts
				for range attempts - 1 {
					sim.failAll(sim.awaitGang(t, firstTask(gangJob)), apart)
					sim.run(time.Second)
				}

				sim.run(30 * time.Second)
				assert.Equal(t, sim.attempts.ended.Failed(firstTask(gangJob), true), attempts-1)
				assert.Equal(t, sim.gangOutcome(), mill.JobCompleted)
			})
		}
	}
}

// TestGangRunThatFailsUnderTwoLeadersIsOneAttempt guards against a run that uses up an attempt under each of two leaders.
func TestGangRunThatFailsUnderTwoLeadersIsOneAttempt(t *testing.T) {
	sim := newSimulation(t, nil, 6)
	sim.submit(gangJob, "free", 10*time.Second, gangStep(2, simCapacity))

	attempts := sim.queue(gangJob).MaxAttempts
	for range attempts - 1 {
		members := sim.awaitGang(t, firstTask(gangJob))
		late := sim.holder(members[1])

		sim.failAll(members, 0)
		sim.run(simStep)

		// The first leader cannot read the end of the second member.
		late.mute = true

		sim.run(time.Second)
		sim.newLeader()

		late.mute = false

		sim.run(2 * time.Second)
	}

	sim.run(40 * time.Second)
	assert.Equal(t, sim.attempts.ended.Failed(firstTask(gangJob), true), attempts-1)
	assert.Equal(t, sim.gangOutcome(), mill.JobCompleted)
}

// TestGangIsFailedAfterItsLastAttempt guards against a gang that is given fewer or more attempts than its queue allows.
func TestGangIsFailedAfterItsLastAttempt(t *testing.T) {
	sim := newSimulation(t, nil, 6)
	sim.submit(gangJob, "free", time.Second, gangStep(3, simCapacity))

	attempts := sim.queue(gangJob).MaxAttempts
	for range attempts {
		assert.Equal(t, sim.gangOutcome(), mill.JobState(""))
		sim.failAll(sim.awaitGang(t, firstTask(gangJob)), simStep)
		sim.run(time.Second)
	}

	assert.Equal(t, sim.gangOutcome(), mill.JobFailed)
	sim.run(30 * time.Second)
	assert.Equal(t, sim.attempts.ended.Failed(firstTask(gangJob), true), attempts)
}

// TestGangThatFailsInAnotherMemberEachTimeIsFailed guards against attempts that count for single members of a gang.
func TestGangThatFailsInAnotherMemberEachTimeIsFailed(t *testing.T) {
	sim := newSimulation(t, nil, 6)
	attempts := simSetup().Queues[0].MaxAttempts
	sim.submit(gangJob, "free", time.Second, gangStep(attempts, simCapacity))

	for run := range attempts {
		assert.Equal(t, sim.gangOutcome(), mill.JobState(""))
		sim.failAll(sim.awaitGang(t, firstTask(gangJob))[run:][:1], 0)
		sim.run(time.Second)
	}

	assert.Equal(t, sim.gangOutcome(), mill.JobFailed)
}

// TestFailedGangsOfStepsAndOccurrencesDoNotAddUp guards against attempts that count for another step or occurrence of a job.
func TestFailedGangsOfStepsAndOccurrencesDoNotAddUp(t *testing.T) {
	const duration = time.Second

	sim := newSimulation(t, nil, 6)
	second := gangStep(2, simCapacity/2)
	second.After = []int{0}

	sim.failingRuns[gangJob] = 3
	sim.submitWork(gangJob, "free", duration, mill.Workload{
		Spec:   gangJob,
		Steps:  []mill.Step{gangStep(3, simCapacity/2), second},
		Repeat: mill.Repeat{Times: 2, FirstUnixMilli: sim.now.UnixMilli(), Interval: duration},
	})

	sim.run(120 * time.Second)
	assert.Equal(t, sim.gangOutcome(), mill.JobCompleted)

	for task := range sim.tasks(gangJob) {
		assert.Equal(t, sim.attempts.ended.Failed(task, true), 3, "%s", task)
	}
}

// gangOutcome returns the outcome of the job with the failing gang, "" for none.
func (sim *simulation) gangOutcome() mill.JobState {
	job, _ := sim.state.Job(gangJob)

	return job.Outcome
}
