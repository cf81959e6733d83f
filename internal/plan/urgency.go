package plan

import (
	"cmp"
	"slices"
	"time"
)

// lateFactor times the objective is the age up to which completing a late job still has some value.
const lateFactor = 3

// Urgency holds the values that determine how urgent a step is.
type Urgency struct {
	// Priority is the priority of the queue; 0 is the highest.
	Priority int
	// Age is the time since the job was received.
	Age time.Duration
	// Objective is the job's target completion time, from when it was received.
	Objective time.Duration
	// Remaining is the duration of the critical path through the job's incomplete steps.
	Remaining time.Duration
	// LongRunning steps never complete, so they have no deadline.
	LongRunning bool
	// BeyondShare means that the job's tenant had submitted more than its share when the job was accepted, so that the job is
	// not owed anything that others want.
	BeyondShare bool
	// Level is how well the job's tenant is served, while the step's pool is full; LevelEven otherwise.
	Level ServiceLevel
	// Sequence is the job's position in the order of acceptance; it breaks ties.
	Sequence uint64
}

// slack is how long the step can wait before the job misses its objective.
func (u *Urgency) slack() time.Duration {
	return u.Objective - u.Age - u.Remaining
}

// starvationDivisor sets how long a job waits for capacity before workers are reserved for it no matter
// how long they stay idle: its objective divided by this.
const starvationDivisor = 4

// Starving reports whether the step has waited long enough for capacity to become free by itself. Workers
// should then be reserved for it, although their free capacity is idle until there is enough of it.
func (u *Urgency) Starving() bool {
	return u.Age > u.Objective/starvationDivisor
}

// class returns the step's class, by the value of starting it now.
func (u *Urgency) class() int {
	switch {
	case u.LongRunning || u.slack() >= 0:
		return classOnTime
	case lateFactor*u.Objective-u.Age-u.Remaining >= 0:
		return classLate
	default:
		return classTooLate
	}
}

// The classes of steps, by decreasing value.
const (
	// classOnTime steps can still meet their objective.
	classOnTime = iota
	// classLate steps miss their objective but still have some value.
	classLate
	// classTooLate steps have no value any more.
	classTooLate
)

// Compare orders steps for a pool with more work than capacity: first those that can still
// meet their objective, then those that have some value when late, then the rest; within
// these by the queue's priority, then those within their tenant's share before those beyond
// it, then by how well the tenant is served, and then by the least slack.
func Compare(a, b *Urgency) int {
	return cmp.Or(
		cmp.Compare(a.class(), b.class()),
		cmp.Compare(a.Priority, b.Priority),
		CompareOwed(a, b),
		cmp.Compare(a.Level, b.Level),
		cmp.Compare(a.slack(), b.slack()),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// CompareOwed puts steps that are owed their start before those beyond their tenants' shares.
func CompareOwed(a, b *Urgency) int {
	switch {
	case a.BeyondShare == b.BeyondShare:
		return 0
	case b.BeyondShare:
		return -1
	default:
		return 1
	}
}

// SortByUrgency sorts values by the order of Compare, the most urgent first.
func SortByUrgency[T any](values []T, urgency func(value T) *Urgency) {
	slices.SortStableFunc(values, func(a, b T) int { return Compare(urgency(a), urgency(b)) })
}
