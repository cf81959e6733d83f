package lead

import "time"

// Bounds are the deployment's time limits that the scheduler depends on.
type Bounds struct {
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// GangTimeout is how long a worker lets members of a gang wait for the others.
	GangTimeout time.Duration
	// MaxStopTime is how long stopping a run takes at most; 0 disables preemption.
	MaxStopTime time.Duration
	// MaintenanceTime is how long a machine is down for its maintenance, and HolderLease the least
	// time between maintenance orders for one machine by two leaders.
	MaintenanceTime time.Duration
	HolderLease     time.Duration
	// OrderTimeout is how long an order may stay unanswered before it is sent again; 0 selects the
	// default for orders that are sent as calls.
	OrderTimeout time.Duration
	// MaxDeliveryDelay is how long a start order may wait before it is delivered to the worker; 0
	// where workers are called directly.
	MaxDeliveryDelay time.Duration
	// CapacityDelay is how long a worker's earlier capacity still counts after it has shrunk; 0 selects the
	// default.
	CapacityDelay time.Duration
	// MaxLeaseDelay is how long after it was granted a lease may begin: where leases count from the
	// order's arrival, a delayed order brings a delayed lease.
	MaxLeaseDelay time.Duration
	// FarFactor is how many times as long a task takes off the rack with its data, or a gang over several racks. With 0 or 1,
	// no task waits for a rack; plan.LearnFarFactor learns it.
	FarFactor float64
}

// orderTimeout returns how long an order may stay unanswered.
func (b *Bounds) orderTimeout() time.Duration {
	if b.OrderTimeout > 0 {
		return b.OrderTimeout
	}

	return defaultOrderTimeout
}

// maintenanceTimeout returns how long a maintenance order may take. With maxPause before it, that is less than the time
// for which a successor sends none.
func (b *Bounds) maintenanceTimeout() time.Duration {
	if b.HolderLease == 0 {
		return providerTimeout
	}

	return min(providerTimeout, max(b.HolderLease/2, b.HolderLease-maxPause))
}

// holderWait returns how long a new leader sends no maintenance orders: until HolderLease after the last order of the leader
// before it, which may have acted for takeoverMargin without knowing that it was replaced.
func (b *Bounds) holderWait() time.Duration {
	if b.HolderLease == 0 {
		return 0
	}

	return b.HolderLease + takeoverMargin
}

// statusValidity returns how long after a worker has sent its status a start may be ordered that relies on its capacity:
// the order must arrive before a capacity that has shrunk since then counts.
func (b *Bounds) statusValidity() time.Duration {
	delay := b.CapacityDelay
	if delay == 0 {
		delay = defaultCapacityDelay
	}

	return max(delay/2, delay-b.orderTimeout())
}

// defaultLease is how long a worker keeps its runs without hearing from the scheduler. It is long
// enough to cover a power loss of some seconds of all processes, an election and a round of
// renewals, and short enough that a long-running task of a lost worker runs again within the
// required nine seconds. A new leader waits for leases of this length, so a build that grants
// longer ones must follow one that waits for them.
const defaultLease = 6 * time.Second

// Lease returns how long a worker keeps its runs without hearing from the scheduler.
func (b *Bounds) Lease() time.Duration {
	if b.MaxLease > 0 {
		return min(defaultLease, b.MaxLease)
	}

	return defaultLease
}

const (
	// clockDrift is the largest share by which a worker's clock may run slow, as the platform
	// specifies it.
	clockDrift = 0.02
	// defaultOrderTimeout is how long an order that was sent as a call may stay unanswered before
	// it is sent again: several round trips between regions.
	defaultOrderTimeout = 400 * time.Millisecond
	// defaultCapacityDelay is how long a capacity that has shrunk does not count yet: the shortest time of the
	// deployments known.
	defaultCapacityDelay = 4500 * time.Millisecond
	// retryDelay is the pause before a failed order or request is sent again.
	retryDelay = 100 * time.Millisecond
	// maxStartAttempts is how often a start order is sent before its run is stopped instead.
	maxStartAttempts = 3
	// maxReportWait is how long a worker may delay its report until a run finishes. It is further
	// limited to a third of the lease, so that two renewals can be lost.
	maxReportWait = 1200 * time.Millisecond
	// minRenewInterval is the least time between two renewals of one worker: each is paid for.
	minRenewInterval = 25 * time.Millisecond
	// takeoverMargin covers the time for which an earlier leader may have acted without knowing
	// that it was replaced: an election timeout.
	takeoverMargin = time.Second
	// commitDelay is the time for a commit and the delivery to the worker: two round trips between
	// regions.
	commitDelay = 80 * time.Millisecond
	// reportTimeout is how long a worker may go without reporting before it gets no new work: three
	// report intervals of the slowest deployment known.
	reportTimeout = 5 * time.Second
	// stallTimeout is how long a run may make no progress before it is considered hung.
	stallTimeout = 1800 * time.Millisecond
	// ticketMargin is deducted from a ticket's validity for the time its reply was on the way.
	ticketMargin = 60 * time.Millisecond
)
