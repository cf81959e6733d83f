package plan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// poolSimulation simulates a pool of slots shared by a deferrable queue of long tasks and an urgent
// queue of short ones, in steps of 100 ms.
type poolSimulation struct {
	slots       int64
	headroom    bool
	finishTimes []time.Duration
	deferrable  []time.Duration
	urgent      []time.Duration
	late        map[int]int
}

const (
	deferrableRunTime = 5600 * time.Millisecond
	urgentRunTime     = 700 * time.Millisecond
)

func (s *poolSimulation) free(now time.Duration) int64 {
	free := s.slots

	for _, end := range s.finishTimes {
		if end > now {
			free--
		}
	}

	return free
}

func (s *poolSimulation) urgency(priority int, arrived, now time.Duration) Urgency {
	if priority == 0 {
		return Urgency{Age: now - arrived, Objective: 3 * urgentRunTime / 2, Remaining: urgentRunTime}
	}

	return Urgency{
		Priority: priority, Age: now - arrived,
		Objective: 4*deferrableRunTime + 3*time.Second, Remaining: deferrableRunTime,
	}
}

// startTasks starts tasks while there are free slots, and counts those that will finish late.
func (s *poolSimulation) startTasks(queue *[]time.Duration, priority int, runTime, now time.Duration) {
	for len(*queue) > 0 {
		free := s.free(now)
		urgency := s.urgency(priority, (*queue)[0], now)

		if free == 0 || s.headroom && !MayStart(&urgency,
			mill.Resources{MilliCores: free}, mill.Resources{MilliCores: s.slots}) {
			return
		}

		if urgency.slack() < 0 {
			s.late[priority]++
		}

		s.finishTimes = append(s.finishTimes, now+runTime)
		*queue = (*queue)[1:]
	}
}

// run submits deferrable work in batches, and urgent work with two bursts.
func (s *poolSimulation) run() {
	s.late = make(map[int]int)

	for tick := range 600 {
		now := time.Duration(tick) * 100 * time.Millisecond

		for range 3 * (tick / 10 % 2) {
			s.deferrable = append(s.deferrable, now)
		}

		urgent := 2
		if tick%300 > 100 && tick%300 < 140 {
			urgent = 6
		}

		for range urgent {
			s.urgent = append(s.urgent, now)
		}

		s.startTasks(&s.urgent, 0, urgentRunTime, now)
		s.startTasks(&s.deferrable, 2, deferrableRunTime, now)
	}
}

// TestBurstsFindHeadroom submits bursts of urgent work to a pool that deferrable work would fill.
// With headroom, far fewer urgent tasks must be late than without, and no deferrable one.
func TestBurstsFindHeadroom(t *testing.T) {
	without := &poolSimulation{slots: 100}
	without.run()

	with := &poolSimulation{slots: 100, headroom: true}
	with.run()

	assert.Assert(t, without.late[0] > 20, "load too light for a comparison: %d late", without.late[0])
	assert.Assert(t, 4*with.late[0] < without.late[0], "%d late with headroom, %d without", with.late[0], without.late[0])
	assert.Equal(t, with.late[2], 0)
}

// TestOnlyDeferrableWorkLeavesHeadroom checks that urgent, late and long-running work may use the headroom.
func TestOnlyDeferrableWorkLeavesHeadroom(t *testing.T) {
	free, capacity := mill.Resources{MilliCores: 10, Accelerators: 1}, mill.Resources{MilliCores: 100, Accelerators: 8}
	deferrable := Urgency{Priority: 2, Objective: 30 * time.Second, Remaining: 5 * time.Second}

	assert.Assert(t, !MayStart(&deferrable, free, capacity))
	assert.Assert(t, MayStart(&deferrable, mill.Resources{MilliCores: 50, Accelerators: 4}, capacity))

	for _, urgency := range []Urgency{
		{Objective: time.Second, Remaining: time.Second},
		{Age: 20 * time.Second, Objective: 30 * time.Second, Remaining: 5 * time.Second},
		{Age: 40 * time.Second, Objective: 30 * time.Second, Remaining: 5 * time.Second},
		{Objective: 30 * time.Second, Remaining: time.Second, LongRunning: true},
	} {
		assert.Assert(t, MayStart(&urgency, free, capacity), "%+v", urgency)
	}

	tooLate := Urgency{Age: 200 * time.Second, Objective: 30 * time.Second, Remaining: 5 * time.Second}
	assert.Assert(t, !MayStart(&tooLate, free, capacity))
}
