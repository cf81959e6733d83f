package lead

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// newRackTest returns a scripted test in which runs off their rack take twice as long.
func newRackTest(t *testing.T, workers ...string) *scriptedTest {
	t.Helper()

	s := newScriptedTest(t, workers...)
	s.scheduler.bounds.FarFactor = 2

	return s
}

// rackTask returns a step of one task that needs a worker and has its data on a rack.
func rackTask(rack string) mill.Step {
	return mill.Step{
		Count: 1, DataRack: rack, Estimate: time.Second, PerTask: mill.Resources{MilliCores: 3000, MemoryMiB: 100},
	}
}

// offer submits a job and plans once.
func (s *scriptedTest) offer(id string, step mill.Step) []string {
	s.state.Apply(&jobs.Command{Submit: &jobs.Submit{
		Job: id, Queue: "free", UnixMilli: s.now.UnixMilli(), Work: mill.Workload{Steps: []mill.Step{step}},
	}})
	s.pass(simStep)

	return s.workersOf(id)
}

// TestTaskWaitsForItsRack expects a task to wait for a run that is about to end near its data, beside an empty worker
// elsewhere, and the wait to be counted, logged once, and forgotten with the job.
func TestTaskWaitsForItsRack(t *testing.T) {
	s := newRackTest(t, "a1", "b1")
	assert.DeepEqual(t, s.submit("first", rackTask("a")), []string{"a1"})

	s.pass(700 * time.Millisecond)
	assert.DeepEqual(t, s.offer("second", rackTask("a")), []string{""})
	s.pass(100 * time.Millisecond)
	assert.DeepEqual(t, s.workersOf("second"), []string{""})
	assert.Equal(t, s.countEvents(EventRack), 1)

	s.end("first", 0, mill.FinishDone)
	assert.DeepEqual(t, s.awaitStart("second"), []string{"a1"})
	assert.Equal(t, s.scheduler.TakeRackCounts().Placed, 1)

	s.end("second", 0, mill.FinishDone)
	s.pass(simStep)
	s.pass(simStep)
	assert.Equal(t, len(s.scheduler.racks.steps), 0)
}

// TestNothingWaitsWithoutAFactor expects tasks and gangs to start at once where the settings give no factor, as before.
func TestNothingWaitsWithoutAFactor(t *testing.T) {
	for _, factor := range []float64{0, 1, plan.LearnFarFactor} {
		s := newRackTest(t, "a1", "a2", "b1", "b2")
		s.scheduler.bounds.FarFactor = factor
		s.submit("first", rackTask("a"))
		s.submit("other", rackTask("b"))
		s.pass(900 * time.Millisecond)

		gang := wholeWorkers(2)
		gang.SameRack = true
		assert.Assert(t, !slices.Contains(s.offer("gang", gang), ""))

		s.end("other", 0, mill.FinishDone)
		s.pass(simStep)
		assert.Assert(t, !slices.Contains(s.offer("second", rackTask("a")), ""))
		assert.Equal(t, s.countEvents(EventRack), 0)
	}
}

// TestTaskGoesElsewhere expects a task to start elsewhere at once if its rack is lost, or has no room for too long.
func TestTaskGoesElsewhere(t *testing.T) {
	s := newRackTest(t, "a1", "b1", "c1")
	long := rackTask("a")
	long.Estimate *= 3

	s.submit("first", long)
	assert.Assert(t, !slices.Contains(s.offer("second", long), ""))
	assert.Assert(t, !slices.Contains(s.offer("lost", rackTask("x")), ""))

	away := s.scheduler.TakeRackCounts().Away
	assert.DeepEqual(t, away, map[plan.RackReason]int{plan.RackUnknown: 1, plan.RackIdle: 1})
}

// TestWaitEndsInTime expects a job of which nothing runs to start elsewhere within the promise, though the run near its data
// seems to end soon all the time.
func TestWaitEndsInTime(t *testing.T) {
	s := newRackTest(t, "a1", "b1", "b2")
	s.submit("first", rackTask("a"))
	s.pass(time.Second)
	assert.DeepEqual(t, s.offer("second", rackTask("a")), []string{""})

	offered := s.now
	assert.Assert(t, s.awaitStart("second")[0] != "a1")
	assert.Assert(t, s.now.Sub(offered) <= plan.MaxIdleWait, "%s", s.now.Sub(offered))
	assert.Equal(t, s.scheduler.TakeRackCounts().InVain, 1)
}

// TestGangWaitsForOneRack expects a gang to wait until a rack has room for all of it, and the room there to be kept from a
// job that comes later.
func TestGangWaitsForOneRack(t *testing.T) {
	s := newRackTest(t, "a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2")

	for _, rack := range []string{"a", "b", "c", "d"} {
		s.submit("on "+rack, rackTask(rack))
		s.pass(100 * time.Millisecond)
	}

	s.pass(500 * time.Millisecond)

	gang := wholeWorkers(2)
	gang.SameRack = true
	assert.DeepEqual(t, s.offer("gang", gang), []string{"", ""})

	later := s.offer("later", mill.Step{Count: 1, Estimate: time.Second, PerTask: mill.Resources{MilliCores: 3000}})
	assert.Assert(t, later[0] != "" && later[0][:1] != "a", "%s", later)

	s.end("on a", 0, mill.FinishDone)
	placed := s.awaitStart("gang")
	slices.Sort(placed)
	assert.DeepEqual(t, placed, []string{"a1", "a2"})
}

// TestGangRunsNearItsData expects a gang to run on the rack with its data though others have more room.
func TestGangRunsNearItsData(t *testing.T) {
	s := newRackTest(t, "a1", "a2", "b1", "b2")
	gang := wholeWorkers(2)
	gang.SameRack, gang.DataRack = true, "b"

	placed := s.submit("gang", gang)
	slices.Sort(placed)
	assert.DeepEqual(t, placed, []string{"b1", "b2"})
}

// TestAdvisorIsAskedAboutTheRackFirst expects the first request for a step to name the workers near its data, also those
// that are full: without a ticket, room there would be of no use.
func TestAdvisorIsAskedAboutTheRackFirst(t *testing.T) {
	s := newRackTest(t, "a1", "b1", "b2", "c1")
	s.submit("first", rackTask("b"))
	s.scheduler.AdvisorReachable("caller", s.now)
	s.state.Apply(&jobs.Command{Submit: &jobs.Submit{
		Job: "advised", Queue: "advised", UnixMilli: s.now.UnixMilli(), Work: mill.Workload{Steps: []mill.Step{rackTask("b")}},
	}})

	actions := s.scheduler.Next(s.now, s.now.UnixMilli(), s.state)
	assert.Equal(t, len(actions.AdviceRequests), 1)
	assert.DeepEqual(t, actions.AdviceRequests[0].Workers[:2], []string{"b1", "b2"})
}

// TestEstimatesDoNotDependOnTheRack expects a run that took longer for being away to count as one near its data.
func TestEstimatesDoNotDependOnTheRack(t *testing.T) {
	s := newRackTest(t, "a1", "b1")
	assert.DeepEqual(t, s.submit("away", rackTask("x")), []string{"a1"})
	s.pass(2 * time.Second)
	s.end("away", 0, mill.FinishDone)
	s.pass(simStep)

	expected := s.scheduler.estimates.Correct("free", time.Second)
	assert.Assert(t, expected < 1100*time.Millisecond, "%s", expected)
	assert.Assert(t, s.scheduler.TakeRackCounts().AwayCoreMilli > 2900)
}

// TestFactorIsLearned expects the factor of a queue to come from its runs where the settings give none, and then to be used.
func TestFactorIsLearned(t *testing.T) {
	s := newRackTest(t, "a1", "b1")
	s.scheduler.bounds.FarFactor = plan.LearnFarFactor

	for i := range 24 {
		id, rack := strconv.Itoa(i), []string{"a", "x"}[i%2]
		s.submit(id, rackTask(rack))
		s.pass(time.Duration(1+i%2) * time.Second)
		s.end(id, 0, mill.FinishDone)
		s.pass(simStep)
	}

	factor := s.scheduler.farFactor("free")
	assert.Assert(t, factor > 1.9 && factor < 2.1, "%g", factor)

	s.submit("first", rackTask("a"))
	s.pass(700 * time.Millisecond)
	assert.DeepEqual(t, s.offer("second", rackTask("a")), []string{""})
}
