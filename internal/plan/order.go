package plan

import (
	"cmp"
	"slices"
	"time"
)

// lateFactor times the objective is how long a late job still earns a part of its benefit.
const lateFactor = 3

// Claim is what the order of waiting steps depends on.
type Claim struct {
	// Priority is the queue's; 0 comes first.
	Priority int
	// Age is how long ago the job was received.
	Age time.Duration
	// Objective is the time in which the job should complete.
	Objective time.Duration
	// Remaining is the longest chain of work that is left.
	Remaining time.Duration
	// Lasting steps have no end to be in time for.
	Lasting bool
	// Sequence breaks ties by the order of acceptance.
	Sequence uint64
}

// slack is how long the step can wait before the job misses its objective.
func (c *Claim) slack() time.Duration {
	return c.Objective - c.Age - c.Remaining
}

// starvingShare is the part of its objective, one in that many, that a job may wait for
// room before others make room for it.
const starvingShare = 4

// Starving reports whether the step should get room at the cost of room that is idle
// meanwhile: it has waited long enough for a gap to open by itself.
func (c *Claim) Starving() bool {
	return c.Age > c.Objective/starvingShare
}

// class sorts claims by what starting them now is worth.
func (c *Claim) class() int {
	switch {
	case c.Lasting || c.slack() >= 0:
		return classInTime
	case lateFactor*c.Objective-c.Age-c.Remaining >= 0:
		return classLate
	default:
		return classMissed
	}
}

const (
	classInTime = iota
	classLate
	classMissed
)

// Compare orders claims for a pool that has less room than work: first what can
// still meet its objective, then what earns something late, then the rest; within
// these by the queue's priority, and then by the least slack.
func Compare(a, b *Claim) int {
	return cmp.Or(
		cmp.Compare(a.class(), b.class()),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.slack(), b.slack()),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

// Sort orders values by their claims.
func Sort[T any](values []T, claim func(value T) *Claim) {
	slices.SortStableFunc(values, func(a, b T) int { return Compare(claim(a), claim(b)) })
}
