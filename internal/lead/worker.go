package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// worker is what the scheduler knows of one worker.
type worker struct {
	status mill.WorkerStatus
	// recorded is what the replicated log holds of the worker, nil for nothing;
	// recording says that a change of that is being committed.
	recorded  *mill.WorkerStatus
	recording bool
	// heard is when the worker last said anything; zero while it is only known from placements.
	heard time.Time
	// answered is when the worker answered a renewal last.
	answered time.Time
	// removed is when the worker said that it ends.
	removed time.Time
	// gone says that the worker has certainly ended.
	gone bool
	// runs holds the runs that may be alive there.
	runs map[mill.TaskID]*run
	used mill.Resources
	// kept is the room that the current plan keeps for steps which come first and wait.
	kept mill.Resources
	// fillers is what tasks that fill would use of the cores.
	fillers int64
	// serving counts the runs whose response times have a target.
	serving int
	// looked says that a report has come since paces were looked at.
	looked bool
	clock  clock
	// until is the end of the latest lease given, by the worker's clock.
	until int64
	// lives counts the lives under the id that this scheduler has seen end.
	lives uint64
	// seen is the highest number of an end up to which all are committed; acked is
	// what the worker knows of that, and pending the highest number it has listed.
	seen    uint64
	acked   uint64
	pending uint64
	// contacted says that the worker has answered this scheduler's fencing token.
	contacted bool
	// inherits says that an earlier leader may have runs there, and has not been answered for.
	inherits bool
	renewing bool
	// committing counts the ends that wait to be committed.
	committing int
	nextRenew  time.Time
	failures   int
	record     plan.WorkerHealth
	slowness   plan.Slowness
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

// unkept returns the free room that the current plan keeps for nothing.
func (w *worker) unkept() mill.Resources {
	return w.free().Sub(w.kept)
}

// keep keeps room from the steps that come later in the current plan.
func (w *worker) keep(room mill.Resources) {
	w.kept = w.kept.Add(room)
}

func (w *worker) add(r *run) {
	w.runs[r.task] = r
	w.used = w.used.Add(r.reserves)

	if r.step.BestEffort {
		w.fillers += r.step.PerTask.MilliCores
	}

	if r.serves() {
		w.serving++
	}
}

func (w *worker) remove(r *run) {
	if w.runs[r.task] != r {
		return
	}

	delete(w.runs, r.task)
	w.used = w.used.Sub(r.reserves)

	if r.step.BestEffort {
		w.fillers -= r.step.PerTask.MilliCores
	}

	if r.serves() {
		w.serving--
	}
}

// usable reports whether the worker may be given new work.
func (w *worker) usable(now time.Time) bool {
	if w.gone || !w.removed.IsZero() || w.heard.IsZero() || w.status.Draining || !w.clock.known() {
		return false
	}

	return w.failures == 0 && now.Sub(w.heard) < quietWorker && w.record.Schedulable(now)
}

// unmet reports whether the worker is known from the log only and was not asked yet
// whether it is still there.
func (w *worker) unmet() bool {
	return w.heard.IsZero() && w.recorded != nil && w.failures == 0
}

// extend returns the end of a lease that starts now, by the worker's clock.
func (w *worker) extend(now time.Time, lease time.Duration) int64 {
	until := w.clock.estimate(now) + lease.Milliseconds()
	w.until = max(w.until, until)

	return until
}

// lapsed reports whether every lease given to the worker has certainly run out, where
// one may begin some time after it was given.
func (w *worker) lapsed(now time.Time, late time.Duration) bool {
	return w.clock.known() && w.clock.least(now) > w.until+late.Milliseconds()
}
