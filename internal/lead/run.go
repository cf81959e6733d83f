package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// runPhase is the scheduler's knowledge of where a run is in its life cycle.
type runPhase uint8

const (
	// runProposed runs wait for their placement to be committed.
	runProposed runPhase = iota
	// runStarting runs are placed; their start order is due, or sent and not answered yet.
	runStarting
	// runStarted runs are known to have started.
	runStarted
	// runInherited runs were placed by an earlier leader; whether they have started is unknown
	// until the worker reports.
	runInherited
	// runDoubtful runs may or may not have started. They are stopped, and the worker's next report
	// shows what became of them.
	runDoubtful
)

// run is the scheduler's view of one run of a task.
type run struct {
	task   mill.TaskID
	number int
	worker *worker
	queue  string
	// tenant is the name of the job's tenant; "" for none.
	tenant   string
	step     *mill.Step
	reserves mill.Resources
	phase    runPhase
	spec     string
	// checkpoint is the latest known one; resumeFrom is the one that the start order carries.
	checkpoint    string
	resumeFrom    string
	ticket        string
	startAttempts int
	// unreachableStarts is how many of these attempts could not connect to the worker, and sent nothing.
	unreachableStarts int
	startInFlight     bool
	nextStart         time.Time
	// updatedAt is when the scheduler last observed or decided something about the run on its
	// worker. If a report that was requested later does not list the run, the worker does not have
	// it.
	updatedAt time.Time
	// placedAt is when this scheduler placed the run; zero for one of an earlier leader.
	placedAt  time.Time
	startedAt time.Time
	// stopping says that the run is to be stopped. stopAcknowledged says that the worker has
	// confirmed it: the run has finished or is stopping, and a delayed start order for it will be
	// refused.
	stopping         bool
	stopAcknowledged bool
	// nextStop is the earliest time of the next stop order.
	nextStop time.Time
	// percent is the run's reported progress, and progressAt when that last changed.
	percent    float64
	progressAt time.Time
	// earlierSuspicion is how strongly earlier runs of the task are suspected of having crashed their workers. isolating
	// says that the worker takes no other new run until this one is proven.
	earlierSuspicion int
	isolating        bool
	// away says that the run is not on the rack that suits it and takes longer; not known for runs of an earlier leader.
	away bool
	// proven says that the worker has listed the run for long enough that starting it has not crashed the worker.
	proven bool
	// workerCrashed says that the worker seems to have crashed since the run started on it. If the run may have caused
	// that, crash is what is known of it, crashedAt when it was noticed, and suspicion what it adds in the end.
	workerCrashed bool
	crash         plan.Crash
	crashedAt     time.Time
	suspicion     int
	// cause is why the run has finished; "" while it may be active.
	cause mill.FinishCause
	// tailMilli is the latest reported tail latency of a serving task.
	tailMilli float64
	// slowedPercent is by how much the run is throttled; 0 is full pace.
	slowedPercent int
	paceSentAt    time.Time
	// failedBefore says that an earlier run of the task has failed.
	failedBefore bool
	// attempt decides how the end of a run that is in no gang is committed; nil if it is committed as it is.
	attempt *jobs.TaskRun
	// gang is what the run shares with the other members of its gang; nil for a task that is in none.
	gang *gangRun
}

// mayHaveCrashedWorker reports whether the run has started and may be why its worker has crashed.
func (r *run) mayHaveCrashedWorker() bool {
	return !r.startedAt.IsZero() && !r.proven
}

// atWork reports whether the run is at work or on its way to its worker, as far as this leader knows.
func (r *run) atWork() bool {
	return r.cause == "" && !r.stopping && r.phase != runInherited && r.phase != runDoubtful
}

// mustProgress reports whether the run hangs if it makes no progress.
func (r *run) mustProgress() bool {
	return r.slowedPercent == 0 && (!r.step.LongRunning || r.percent < fullPercent)
}

func (r *run) ref() mill.RunRef {
	return mill.RunRef{Task: r.task, Run: r.number}
}
