package lead

import "time"

// Bounds are the times of the deployment that the scheduler depends on.
type Bounds struct {
	// MaxLease is the longest lease that any scheduler may have given.
	MaxLease time.Duration
	// GangWait is how long a worker lets members of a gang wait for the others.
	GangWait time.Duration
	// StopTime is how long a stop takes at the most; 0 where nothing is stopped for other work.
	StopTime time.Duration
	// UpkeepTime is how long a machine is down for its upkeep, and HolderTime the least time
	// between orders for one machine from two processes.
	UpkeepTime time.Duration
	HolderTime time.Duration
	// OrderTime is how long an order may stay unanswered before it is given again; 0 for
	// that of orders which are given by calls.
	OrderTime time.Duration
	// DeliverTime is how long a start may wait for the worker before it is delivered; 0 where
	// workers are called.
	DeliverTime time.Duration
	// LateLease is how long after it was given a lease may begin: where leases count
	// from the order's arrival, an order that arrives late brings a late one.
	LateLease time.Duration
}

// orderTime returns how long an order may stay unanswered.
func (b *Bounds) orderTime() time.Duration {
	if b.OrderTime > 0 {
		return b.OrderTime
	}

	return calledOrderTime
}

// usualLease is how long a worker keeps its runs without hearing from the
// scheduler: long enough for all processes to be without power for some seconds, an
// election and a round of renewals, and short enough that a lasting task of a lost worker
// runs again within the nine seconds that the users bear.
const usualLease = 6 * time.Second

// Lease returns how long a worker keeps its runs without hearing from the scheduler.
func (b *Bounds) Lease() time.Duration {
	if b.MaxLease > 0 {
		return min(usualLease, b.MaxLease)
	}

	return usualLease
}

const (
	// clockDrift is the largest share by which a worker's clock is slow, from the deployment's pages.
	clockDrift = 0.02
	// calledOrderTime is how long an order that was given by a call may stay unanswered
	// before it is given again: several round trips between regions.
	calledOrderTime = 400 * time.Millisecond
	// retryTime is the pause before an order is given again.
	retryTime = 100 * time.Millisecond
	// startTries is how often a start is given before its run is barred instead.
	startTries = 3
	// renewWait is how long a worker may hold back its report until something
	// ends; a third of the lease at most, so that two renewals can be lost.
	renewWait = 1200 * time.Millisecond
	// renewPause is the least time between two renewals of one worker: each is paid for.
	renewPause = 25 * time.Millisecond
	// leaveTime is how long a worker may take to end after it has said so.
	leaveTime = 150 * time.Millisecond
	// takeoverMargin covers the time for which an earlier leader may have acted
	// without knowing that it was replaced: an election timeout.
	takeoverMargin = time.Second
	// commitTime is what a commit and the way to the worker take: two round trips between regions.
	commitTime = 80 * time.Millisecond
	// quietWorker is how long a worker may be silent before it gets no new work:
	// three heartbeats of the slowest deployment known.
	quietWorker = 5 * time.Second
	// stillTime is how long a run may make no progress before it is taken to hang.
	stillTime = 1800 * time.Millisecond
	// maxAsked is the number of workers that one question names; more are not in the objective.
	maxAsked = 30
	// ticketMargin is kept from a ticket's validity for the way of the answer.
	ticketMargin = 60 * time.Millisecond
)
