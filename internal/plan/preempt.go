package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// yieldSlack is what the job of a task that yields keeps of its slack, beside half of
// the work that is left: a stop, the wait for another worker, and the work since the
// last checkpoint.
const yieldSlack = 2 * time.Second

// Tenant is a task that runs on a worker.
type Tenant struct {
	Reserves mill.Resources
	// Left is about how long it goes on.
	Left time.Duration
	// Yields says that it may be stopped for a task that comes first.
	Yields bool
}

// MayYield reports whether a task of a job may be stopped for one of another job that
// can still be in time: its queue comes later, its work is saved, and it has time.
func MayYield(task, other *Claim, checkpointing bool) bool {
	return checkpointing && !task.Lasting && task.Priority > other.Priority && other.class() == classInTime &&
		task.slack() > yieldSlack+task.Remaining/2
}

// Room returns how long it takes until a worker has room for one more task, and which
// tenants are to be stopped for that: none where enough of them end within the time that
// a stop takes. It answers pools in which small patient tasks take up the workers that
// large urgent ones need whole.
func Room(free, each mill.Resources, tenants []Tenant, stop time.Duration) (wait time.Duration, stopped []int) {
	order := make([]int, len(tenants))
	for i := range tenants {
		order[i] = i
	}

	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(tenants[a].Left, tenants[b].Left) })

	wait = waitFor(free, each, tenants, order)
	if wait <= stop {
		return wait, nil
	}

	stopped = yielding(free, each, tenants, order)
	if stopped == nil {
		return wait, nil
	}

	return stop, stopped
}

// waitFor returns when the tenants that end first have left room.
func waitFor(free, each mill.Resources, tenants []Tenant, order []int) time.Duration {
	for _, at := range order {
		if each.Fits(free) {
			break
		}

		free = free.Add(tenants[at].Reserves)
		if each.Fits(free) {
			return tenants[at].Left
		}
	}

	return 0
}

// yielding returns tenants that leave room when they are stopped, those with the most
// work left first, or nil if they do not suffice.
func yielding(free, each mill.Resources, tenants []Tenant, order []int) []int {
	var stopped []int

	for _, at := range slices.Backward(order) {
		if tenants[at].Yields && !each.Fits(free) {
			free = free.Add(tenants[at].Reserves)
			stopped = append(stopped, at)
		}
	}

	if !each.Fits(free) {
		return nil
	}

	// One that was taken early may be spared by what came later.
	return slices.DeleteFunc(stopped, func(at int) bool {
		without := free.Sub(tenants[at].Reserves)
		if !each.Fits(without) {
			return false
		}

		free = without

		return true
	})
}
