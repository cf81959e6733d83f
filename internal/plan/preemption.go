package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// preemptionSlack is the slack that the job of a preempted task must have, in addition to half of its
// remaining work: it covers the stop, the wait for another worker, and the work lost since
// the last checkpoint.
const preemptionSlack = 2 * time.Second

// RunningTask is a task that is running on a worker.
type RunningTask struct {
	Reserves mill.Resources
	// Remaining is the task's estimated remaining run time.
	Remaining time.Duration
	// Preemptible means that the task may be preempted.
	Preemptible bool
}

// MayPreempt reports whether a task may be preempted for one of another job that can still meet its
// objective and is within its tenant's share: the victim's work must be checkpointed, and it must be
// beyond its tenant's share, or its queue must have a lower priority and its job enough slack.
func MayPreempt(victim, preemptor *Urgency, checkpointing bool) bool {
	if !checkpointing || victim.LongRunning || preemptor.BeyondShare || preemptor.class() != classOnTime {
		return false
	}

	return victim.BeyondShare || victim.Priority > preemptor.Priority && victim.slack() > preemptionSlack+victim.Remaining/2
}

// Preemption returns how long it takes until a worker has the capacity for one more task, and which running
// tasks to stop for that: none if enough of them finish within the time that a stop takes.
// It is meant for pools in which small deferrable tasks occupy workers that large urgent tasks
// need as a whole.
func Preemption(
	free, demand mill.Resources, running []RunningTask, stop time.Duration,
) (wait time.Duration, victims []int) {
	order := make([]int, len(running))
	for i := range running {
		order[i] = i
	}

	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(running[a].Remaining, running[b].Remaining) })

	wait = waitForCapacity(free, demand, running, order)
	if wait <= stop {
		return wait, nil
	}

	victims = chooseVictims(free, demand, running, order)
	if victims == nil {
		return wait, nil
	}

	return stop, victims
}

// waitForCapacity returns the time until the tasks that finish first have freed enough capacity. It
// returns 0 if there is enough already, or if all of them together do not free enough.
func waitForCapacity(free, demand mill.Resources, running []RunningTask, order []int) time.Duration {
	for _, at := range order {
		if demand.Fits(free) {
			break
		}

		free = free.Add(running[at].Reserves)
		if demand.Fits(free) {
			return running[at].Remaining
		}
	}

	return 0
}

// chooseVictims returns the tasks to stop to free enough capacity, those with the longest remaining
// run time first, or nil if stopping all preemptible tasks does not suffice.
func chooseVictims(free, demand mill.Resources, running []RunningTask, order []int) []int {
	var victims []int

	for _, at := range slices.Backward(order) {
		if running[at].Preemptible && !demand.Fits(free) {
			free = free.Add(running[at].Reserves)
			victims = append(victims, at)
		}
	}

	if !demand.Fits(free) {
		return nil
	}

	// Later victims may have made an earlier one unnecessary.
	return slices.DeleteFunc(victims, func(at int) bool {
		without := free.Sub(running[at].Reserves)
		if !demand.Fits(without) {
			return false
		}

		free = without

		return true
	})
}
