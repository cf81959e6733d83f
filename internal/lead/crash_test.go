package lead

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// maxLeaderChanges limits the changes of leader during which a crash may go unnoticed.
const maxLeaderChanges = 2

// TestCrashingTaskIsNotStartedForever plays a task that crashes each executor that starts it, through a change of
// leader, and expects its job to fail after three crashes at the most.
func TestCrashingTaskIsNotStartedForever(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		sim := newSimulation(t, nil, 6)
		sim.faultless = false
		sim.submitCrashing("crashing", 3)
		sim.run(4 * time.Second)

		if takeover {
			sim.newLeader()
		}

		sim.run(26 * time.Second)

		job, _ := sim.state.Job("crashing")
		assert.Equal(t, job.Outcome, mill.JobFailed)
		assert.Assert(t, sim.crashes[firstTask("crashing")] <= simMaxCrashes, "takeover %t: %v", takeover, sim.crashes)
	}
}

// TestCrashingTasksSpareOtherJobs plays a load of short jobs of which every tenth has a task that crashes each executor
// that starts it. It expects the other jobs to complete, and each crashing task to cost three executors at the
// most.
func TestCrashingTasksSpareOtherJobs(t *testing.T) {
	const (
		crashingShare = 10
		loadTime      = 20 * time.Second
		jobInterval   = 200 * time.Millisecond
	)

	sim := newSimulation(t, nil, 30)
	sim.faultless = false

	submitted := 0
	for ; time.Duration(submitted)*jobInterval < loadTime; submitted++ {
		id := fmt.Sprintf("%016x", submitted)
		if submitted%crashingShare == crashingShare-1 {
			sim.submitCrashing(id, 3)
		} else {
			sim.submit(id, "free", 560*time.Millisecond, shortStep(3))
		}

		sim.run(jobInterval)
	}

	sim.run(30 * time.Second)

	for number := range submitted {
		id := fmt.Sprintf("%016x", number)
		job, _ := sim.state.Job(id)
		task := firstTask(id)

		want := mill.JobCompleted
		if sim.crashingTasks[task] {
			want = mill.JobFailed
		}

		assert.Equal(t, job.Outcome, want, "job %s", id)
		assert.Assert(t, sim.crashes[task] <= simMaxCrashes, "job %s: %d crashes", id, sim.crashes[task])
	}
}

// TestLongRunningTaskOutlivesCrashesOfItsWorkers crashes the executor of a long-running task time and again, each time after
// the task has been at work, and expects the task to be started again.
func TestLongRunningTaskOutlivesCrashesOfItsWorkers(t *testing.T) {
	sim := newSimulation(t, nil, 3)
	sim.faultless = false
	sim.submit("serving", "free", time.Second, mill.Step{
		Count: 1, LongRunning: true, PerTask: mill.Resources{MilliCores: 500, MemoryMiB: 100},
	})

	task := firstTask("serving")

	for range 5 {
		sim.run(4 * time.Second)
		sim.executorOf(task).crashUnder(task)
		sim.run(2 * simCrashTime)

		// The rule on crashing tasks is not about a task that was at work.
		sim.crashes[task] = 0
	}

	sim.recoverAndCheck(10 * time.Second)
	assert.Equal(t, sim.specs["serving"].canceled, time.Time{})

	job, _ := sim.state.Job("serving")
	assert.Equal(t, job.Outcome, mill.JobState(""))
}

// TestFuzzCrashingTasks runs random jobs of which some have a task that crashes each executor that starts it,
// through crashes of other causes and up to two changes of leader.
func TestFuzzCrashingTasks(t *testing.T) {
	seeds.SetChecks(t, 100)

	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, t, 8)
		sim.faultless = false

		draw := &actionDrawer{sim: sim}
		changes := 0

		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				draw.submit(t)

				id := fmt.Sprintf("%016x", draw.jobs)
				if rapid.IntRange(0, 3).Draw(t, "crashes") == 0 {
					sim.crashingTasks[firstTask(id)] = true
				}
			},
			"cancel": draw.cancel,
			"pass":   draw.advance,
			"crash":  draw.crash,
			"back": func(t *rapid.T) {
				if sim.crashedWithin(minRestartTime) {
					t.Skip("no process restarts as quickly")
				}

				draw.recover(t)
			},
			"reborn": draw.restart,
			"lead": func(t *rapid.T) {
				if changes == maxLeaderChanges {
					t.Skip("enough changes of leader")
				}

				changes++

				sim.newLeader()
			},
		})

		sim.recoverAndCheck(120 * time.Second)
	})
}

// crashedWithin reports whether an executor has crashed within the last span of time.
func (sim *simulation) crashedWithin(span time.Duration) bool {
	return slices.ContainsFunc(sim.executors, func(e *executor) bool { return sim.now.Sub(e.crashedAt) < span })
}

func firstTask(job string) mill.TaskID {
	return mill.StepID{Job: job}.Task(0)
}

func shortStep(count int) mill.Step {
	return mill.Step{Count: count, PerTask: mill.Resources{MilliCores: 500, MemoryMiB: 100}}
}

// submitCrashing submits a job whose first task crashes each executor that starts it.
func (sim *simulation) submitCrashing(id string, tasks int) {
	sim.crashingTasks[firstTask(id)] = true
	sim.submit(id, "free", 560*time.Millisecond, shortStep(tasks))
}

// executorOf returns the executor that runs a task.
func (sim *simulation) executorOf(task mill.TaskID) *executor {
	for _, e := range sim.executors {
		if _, ok := e.running[task]; ok {
			return e
		}
	}

	sim.t.Fatalf("%s: task %s is not running", sim.elapsed(), task)

	return nil
}
