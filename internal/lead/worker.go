package lead

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// worker is the scheduler's view of one worker.
type worker struct {
	status mill.WorkerStatus
	// index numbers the workers in the order in which the scheduler learned of them.
	index int
	// recorded is the worker's record in the replicated state, nil for none; recording says that a
	// change of it is being committed.
	recorded  *mill.WorkerStatus
	recording bool
	// recordCurrent says that the record was compared with the latest status and needs no change, unrecordable that this
	// status cannot be logged.
	recordCurrent bool
	unrecordable  bool
	// lastHeard is when the worker last reported or answered; zero while it is known only from the
	// state.
	lastHeard time.Time
	// statusSentAt is when the worker has sent its status, at the earliest. It is zero while the status is that of
	// an earlier incarnation, or known only from the state.
	statusSentAt time.Time
	// lastRenewal is when the worker has sent its last answer to a renewal, which may have been a while on its way.
	lastRenewal  time.Time
	incarnations incarnations
	// leaving says that the worker has announced that it is shutting down, and has not reported since. It may run on for
	// some seconds, above all if it gets no answer to that.
	leaving bool
	// gone says that the worker has certainly stopped, with all its runs.
	gone bool
	// shutDown says that the worker has ended with its machine, for maintenance. The ends of runs may have been on their way.
	shutDown bool
	// runs holds the runs that may be active on the worker or are being placed on it.
	runs map[mill.TaskID]*run
	// sortedRuns holds the runs by task; nil after one was added or removed.
	sortedRuns []*run
	// used is the capacity that these runs take.
	used mill.Resources
	// reserved is the capacity that the current plan reserves for steps that come first and have to
	// wait.
	reserved mill.Resources
	// bestEffortMilliCores is the processor demand of the best-effort tasks on the worker, which reserve
	// no capacity for it.
	bestEffortMilliCores int64
	// servingRuns counts the runs with a target for their tail latency.
	servingRuns int
	// unprovenRuns counts the runs that may yet crash the worker, and isolatingRuns those for whose sake it takes no
	// others.
	unprovenRuns  int
	isolatingRuns int
	// freshReport says that a report has arrived since paces were last adjusted.
	freshReport bool
	clock       clock
	// leaseEndMilli is the end of the latest lease granted, on the worker's clock.
	leaseEndMilli int64
	// restarts counts the restarts under the same id that this scheduler has observed.
	restarts uint64
	// The worker numbers its finished runs. Those up to committedThrough are committed, those up to
	// acknowledgedThrough are acknowledged to the worker, and listedThrough is the highest number that
	// it has reported.
	committedThrough    uint64
	acknowledgedThrough uint64
	listedThrough       uint64
	// contacted says that the worker has accepted this scheduler's fencing token. unfenced says that it has started again
	// under its id and knows no token, so that it would carry out a delayed order to its earlier incarnation.
	contacted bool
	unfenced  bool
	// mayHoldInherited says that runs of an earlier leader may be active on the worker, which has
	// not answered this leader yet.
	mayHoldInherited bool
	renewing         bool
	// hasUnknownRuns says that the worker's last list had runs that the state does not know, so that its free
	// capacity is not known.
	hasUnknownRuns bool
	// uncommittedFinishes counts the finished runs that are not committed yet.
	uncommittedFinishes int
	nextRenewal         time.Time
	// failedRenewals counts the renewals that have failed since the last one that succeeded.
	failedRenewals int
	// silentSince is when the first of them failed, as long as the worker is not known to have crashed.
	silentSince time.Time
	health      plan.WorkerHealth
	slowness    plan.Slowness
}

func newWorker(id string) *worker {
	return &worker{status: mill.WorkerStatus{ID: id}, runs: make(map[mill.TaskID]*run)}
}

func (w *worker) ref() mill.WorkerRef {
	return mill.WorkerRef{ID: w.status.ID, Address: w.status.Address}
}

func (w *worker) free() mill.Resources {
	return w.status.Capacity.Sub(w.used)
}

// unreserved returns the free capacity that the current plan has not reserved.
func (w *worker) unreserved() mill.Resources {
	return w.free().Sub(w.reserved)
}

// reserve withholds capacity from the steps that come later in the current plan.
func (w *worker) reserve(resources mill.Resources) {
	w.reserved = w.reserved.Add(resources)
}

func (w *worker) add(r *run) {
	w.runs[r.task] = r
	w.sortedRuns = nil
	w.used = w.used.Add(r.reserves)

	if r.step.BestEffort {
		w.bestEffortMilliCores += r.step.PerTask.MilliCores
	}

	if r.hasTailTarget() {
		w.servingRuns++
	}

	w.countUnproven(r, 1)
}

func (w *worker) remove(r *run) {
	if w.runs[r.task] != r {
		return
	}

	delete(w.runs, r.task)
	w.sortedRuns = nil
	w.used = w.used.Sub(r.reserves)

	if r.step.BestEffort {
		w.bestEffortMilliCores -= r.step.PerTask.MilliCores
	}

	if r.hasTailTarget() {
		w.servingRuns--
	}

	w.countUnproven(r, -1)
}

// countUnproven adds a run to the counts of unproven runs, or subtracts it.
func (w *worker) countUnproven(r *run, sign int) {
	if r.proven {
		return
	}

	w.unprovenRuns += sign

	if r.isolating {
		w.isolatingRuns += sign
	}
}

// runsByTask returns the worker's runs sorted by task. The caller must not modify the slice.
func (w *worker) runsByTask() []*run {
	if w.sortedRuns == nil {
		w.sortedRuns = slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int { return a.task.Compare(b.task) })
	}

	return w.sortedRuns
}

// renewalFailed records a renewal that was not answered or refused.
func (w *worker) renewalFailed(now time.Time) {
	if w.failedRenewals == 0 {
		w.silentSince = now
	}

	w.failedRenewals++
	w.nextRenewal = now.Add(retryDelay)
}

// tried reports whether the worker has a run that was placed on probation.
func (w *worker) tried() bool {
	if !w.health.OnProbation() {
		return false
	}

	for _, r := range w.runs {
		if w.health.Tries(r.placedAt) {
			return true
		}
	}

	return false
}

// proven reports whether a run that was placed on probation has been at work for long enough.
func (w *worker) proven(now time.Time) bool {
	for _, r := range w.runs {
		if r.phase == runStarted && r.percent > 0 && w.health.Proves(r.placedAt, now.Sub(r.startedAt)) {
			return true
		}
	}

	return false
}

// progresses reports whether a run on the worker makes progress, so that the worker does not hang.
func (w *worker) progresses(now time.Time) bool {
	for _, r := range w.runs {
		if r.phase == runStarted && r.mustProgress() && r.percent > 0 && now.Sub(r.progressAt) < stallTimeout {
			return true
		}
	}

	return false
}

// ended reports whether the worker has certainly stopped.
func (w *worker) ended() bool {
	return w.gone || w.shutDown
}

// answers reports whether the worker reports and answers, and is not about to stop.
func (w *worker) answers(now time.Time) bool {
	if w.ended() || w.leaving || w.lastHeard.IsZero() || w.status.Draining || !w.clock.known() {
		return false
	}

	return w.failedRenewals == 0 && now.Sub(w.lastHeard) < reportTimeout
}

// usable reports whether the worker may be given new work.
func (w *worker) usable(now time.Time) bool {
	return w.answers(now) && w.health.Schedulable(now)
}

// sentAt returns when the worker has sent a status that was received at the given time, by its clock.
func (w *worker) sentAt(status *mill.WorkerStatus, at time.Time) time.Time {
	if !w.clock.known() || status.ClockMilli <= 0 {
		return at
	}

	age := time.Duration(w.clock.estimate(at)-status.ClockMilli) * time.Millisecond

	return at.Add(-max(0, age))
}

// unverified reports whether the worker is known only from the state and has not been called yet.
func (w *worker) unverified() bool {
	return w.lastHeard.IsZero() && w.recorded != nil && w.failedRenewals == 0
}

// extendLease grants the worker a lease that begins now, and returns its end on the worker's clock.
func (w *worker) extendLease(now time.Time, lease time.Duration) int64 {
	until := w.clock.estimate(now) + lease.Milliseconds()
	w.leaseEndMilli = max(w.leaseEndMilli, until)

	return until
}

// leasesExpired reports whether every lease granted to the worker has certainly expired, where a
// lease may begin up to maxDelay after it was granted.
func (w *worker) leasesExpired(now time.Time, maxDelay time.Duration) bool {
	return w.clock.known() && w.clock.lowerBound(now) > w.leaseEndMilli+maxDelay.Milliseconds()
}
