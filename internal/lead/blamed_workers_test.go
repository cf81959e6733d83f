package lead

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestGangsThatFailInOneMemberQuarantineNoWorkers guards against sound workers that are blamed for hopeless gangs.
func TestGangsThatFailInOneMemberQuarantineNoWorkers(t *testing.T) {
	for _, percent := range []int{50, 70, 90} {
		random := rand.New(rand.NewPCG(1, 2))
		s := newScriptedTest(t, "a", "b", "c", "d", "e", "f", "g", "h")
		attempts := s.state.Setup().Queues[0].MaxAttempts
		quarantines := 0

		for number := range 400 {
			id := fmt.Sprintf("job%03d", number)
			s.submit(id, wholeWorkers(4))

			if random.IntN(100) >= percent {
				s.endAll(id, slices.Repeat([]mill.FinishCause{mill.FinishDone}, 4)...)

				continue
			}

			for range attempts {
				workers := s.awaitStart(id)
				s.failOn(id, workers[random.IntN(len(workers))])
			}

			for _, w := range s.scheduler.workersByID() {
				if w.health.OnProbation() {
					quarantines += min(1, number/100) // The failure rate is learned from the first jobs.
					w.health = plan.WorkerHealth{}
				}
			}
		}

		assert.Check(t, quarantines == 0, "%d%% of the gangs fail: %d quarantines of sound workers", percent, quarantines)
	}
}

// TestHungWorkerOfAGangIsQuarantined guards against a hung worker that is spared because a sound one is judged first.
func TestHungWorkerOfAGangIsQuarantined(t *testing.T) {
	s := newScriptedTest(t, "a", "b")
	sound := s.submit("other", shortStep(1))[0]
	hung := map[string]string{"a": "b", "b": "a"}[sound]

	s.submit("gang", wholeWorkers(2))
	s.answer(hung)
	s.answer(sound)

	for step := range 100 {
		s.pass(100 * time.Millisecond)
		s.progress("other", float64(1+step)/2)
		s.answer(sound)

		if step%11 == 10 {
			s.answer(hung) // A renewal waits for up to 1.2 s.
		}

		for index, worker := range s.workersOf("gang") {
			r := s.scheduler.runs[firstTask("gang").Task(index)]
			if worker != "" && r != nil && r.stopping {
				s.end("gang", index, mill.FinishStopped)
			}
		}
	}

	assert.DeepEqual(t, s.quarantined(), []string{hung})
}

// TestGangAvoidsAFailedWorkerAfterAWaitForRoom guards against a gang that forgets what failed it while it waits for room.
func TestGangAvoidsAFailedWorkerAfterAWaitForRoom(t *testing.T) {
	s := newScriptedTest(t, "a", "b", "c", "d", "e")
	faulty := s.submit("gang", wholeWorkers(2))[0]
	s.submit("filler", wholeWorkers(2))

	single := wholeWorkers(1)
	single.Gang = false

	for _, id := range []string{"x", "y"} {
		s.state.Apply(&jobs.Command{Submit: &jobs.Submit{
			Job: id, Queue: "free", UnixMilli: s.now.UnixMilli() - 100000, Work: mill.Workload{Steps: []mill.Step{single}},
		}})
	}

	s.failOn("gang", faulty)

	for range 200 {
		s.pass(simStep)
	}

	assert.Assert(t, slices.Contains(s.workersOf("gang"), ""))
	s.end("x", 0, mill.FinishDone)
	s.end("y", 0, mill.FinishDone)
	s.endAll("filler", mill.FinishDone, mill.FinishDone)

	again := s.awaitStart("gang")
	assert.Assert(t, !slices.Contains(again, faulty), "%s has failed the gang, which runs on %v again", faulty, again)
}
