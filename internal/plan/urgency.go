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
	first, second := a.rank(), b.rank()

	return first.compare(&second)
}

// rank holds what the order of Compare depends on.
type rank struct {
	class, priority int
	beyondShare     bool
	level           ServiceLevel
	slack           time.Duration
	sequence        uint64
}

func (u *Urgency) rank() rank {
	return rank{
		class: u.class(), priority: u.Priority, beyondShare: u.BeyondShare, level: u.Level, slack: u.slack(), sequence: u.Sequence,
	}
}

func (r *rank) compare(other *rank) int {
	switch {
	case r.class != other.class:
		return cmp.Compare(r.class, other.class)
	case r.priority != other.priority:
		return cmp.Compare(r.priority, other.priority)
	case r.beyondShare != other.beyondShare:
		return compareOwed(r.beyondShare, other.beyondShare)
	case r.level != other.level:
		return cmp.Compare(r.level, other.level)
	case r.slack != other.slack:
		return cmp.Compare(r.slack, other.slack)
	default:
		return cmp.Compare(r.sequence, other.sequence)
	}
}

// CompareOwed puts steps that are owed their start before those beyond their tenants' shares.
func CompareOwed(a, b *Urgency) int {
	return compareOwed(a.BeyondShare, b.BeyondShare)
}

func compareOwed(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// SortByUrgency sorts values by the order of Compare, the most urgent first; equal ones keep their order. It is meant for
// backlogs of thousands of steps: the urgency of each value is evaluated once.
func SortByUrgency[T any](values []T, urgency func(value T) *Urgency) {
	type ranked struct {
		rank     rank
		position int
		value    T
	}

	sorted := make([]ranked, len(values))
	for i, value := range values {
		sorted[i] = ranked{rank: urgency(value).rank(), position: i, value: value}
	}

	slices.SortFunc(sorted, func(a, b ranked) int {
		return cmp.Or(a.rank.compare(&b.rank), cmp.Compare(a.position, b.position))
	})

	for i := range sorted {
		values[i] = sorted[i].value
	}
}
