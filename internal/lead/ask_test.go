package lead

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// wholeWorker is a task that needs all accelerators of a worker of the world.
func wholeWorker() mill.Step {
	return mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 4000, Accelerators: 4}}
}

// oneAccelerator is a task that leaves room for others beside it.
func oneAccelerator() mill.Step {
	return mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 500, Accelerators: 1}}
}

// TestNoQuestionsWithoutRoom plays a pool that is full of long work while more of
// it waits, and expects the advisor not to be asked again and again for what has no room.
func TestNoQuestionsWithoutRoom(t *testing.T) {
	w := newWorld(t, nil, 2)

	for _, id := range []string{"full", "wait1", "wait2", "wait3"} {
		w.submit(id, "advised", 20*time.Second, wholeWorker())
		w.run(300 * time.Millisecond)
	}

	before := w.asks
	w.run(10 * time.Second)
	assert.Equal(t, w.asks, before, "the only worker with accelerators is taken for 20 seconds")
}

// TestRoomIsKeptForWhatComesFirst plays a large step that waits for the advisor while
// small ones, which are ready at once, keep coming. It expects the large one to get the
// room that becomes free, and not to starve.
func TestRoomIsKeptForWhatComesFirst(t *testing.T) {
	w := newWorld(t, nil, 2)
	w.submit("small0", "free", time.Second, oneAccelerator())
	w.run(200 * time.Millisecond)
	w.submit("large", "advised", time.Second, wholeWorker())

	for index := range 40 {
		w.submit("small"+string(rune('A'+index)), "free", 500*time.Millisecond, oneAccelerator())
		w.run(100 * time.Millisecond)
	}

	job, _ := w.state.Job("large")
	assert.Assert(t, job.MayHaveStarted, "the large step never got a whole worker")
}

// TestQuickQuestionsDoNotWait plays more slow questions than there are addresses, and
// expects one address to be left for a quick one.
func TestQuickQuestionsDoNotWait(t *testing.T) {
	w := newWorld(t, nil, 4)
	setup := worldSetup()
	setup.Version = 2
	setup.Queues[1].Advice.Decide = 2 * time.Second
	quick := setup.Queues[1]
	quick.Name, quick.Prefix = "quick", "/quick/"
	quick.Advice = &mill.AdvicePolicy{Decide: 10 * time.Millisecond, Validity: worldValidity}
	setup.Queues = append(setup.Queues, quick)
	w.configure(setup)

	for _, address := range []string{"a", "b", "c", "d"} {
		w.leader.scheduler.Caller(address, w.now)
	}

	for _, id := range []string{"slow1", "slow2", "slow3", "slow4", "slow5", "slow6", "slow7", "slow8"} {
		w.submit(id, "advised", time.Second, mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 100}})
	}

	w.run(worldStep)
	w.submit("quick", "quick", time.Second, mill.Step{Count: 1, PerTask: mill.Resources{MilliCores: 100}})
	w.run(worldStep)
	assert.Equal(t, w.askedFor["quick"], 1)
}

// TestGangOfWholeWorkersStarts plays a gang that needs two whole workers, both of
// which small tasks keep filling, and expects it to start.
func TestGangOfWholeWorkersStarts(t *testing.T) {
	w := newWorld(t, nil, 12)
	w.submit("small0", "free", time.Second, oneAccelerator())
	w.run(200 * time.Millisecond)

	gang := wholeWorker()
	gang.Count, gang.Gang = 2, true
	w.submit("gang", "advised", time.Second, gang)

	for index := range 60 {
		for more := range 4 {
			w.submit(fmt.Sprintf("small%d-%d", index, more), "free", 600*time.Millisecond, oneAccelerator())
		}

		w.run(100 * time.Millisecond)
	}

	job, _ := w.state.Job("gang")
	assert.Assert(t, job.MayHaveStarted, "the gang never got two whole workers")
}

// TestPatientWorkYields plays workers that are full of small tasks with much time left, whose
// work is saved. It expects a large urgent task to start long before they end, and the
// small ones to go on elsewhere or later from where they were.
func TestPatientWorkYields(t *testing.T) {
	w := newWorld(t, nil, 2)

	small := oneAccelerator()
	small.Count, small.Checkpointing = 4, true
	w.submit("patient", "free", 20*time.Second, small)
	w.specs["patient"].queue = "free"
	w.run(time.Second)

	w.submit("urgent", "advised", time.Second, wholeWorker())
	w.run(1500 * time.Millisecond)

	job, _ := w.state.Job("urgent")
	assert.Assert(t, job.MayHaveStarted, "a whole worker is not made free")

	w.run(40 * time.Second)

	patient, _ := w.state.Job("patient")
	assert.Equal(t, patient.State(), mill.JobCompleted)
}
