package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// runPhase is where a run stands.
type runPhase uint8

const (
	// runProposed runs wait for their placement to be committed.
	runProposed runPhase = iota
	// runStarting runs have been ordered, and the order is not answered yet.
	runStarting
	// runAlive runs are known to have started.
	runAlive
	// runInherited runs were placed by an earlier leader.
	runInherited
	// runDoubtful runs may have started: they are barred, and their worker is asked.
	runDoubtful
)

// run is what the scheduler knows of one run of a task.
type run struct {
	task     mill.TaskID
	number   int
	worker   *worker
	queue    string
	step     *mill.Step
	reserves mill.Resources
	phase    runPhase
	spec     string
	// checkpoint is the latest known; the first start resumes from resume.
	checkpoint string
	resume     string
	ticket     string
	tries      int
	inFlight   bool
	next       time.Time
	// answered is when the run was known to be settled on its worker: a report
	// that was asked for later and does not list it says that it is not there.
	answered time.Time
	started  time.Time
	// stopping says that the run is to end; barred says that the worker has agreed.
	stopping bool
	barred   bool
	stopSent time.Time
	// percent is how far the run is, and moved when that changed last.
	percent float64
	moved   time.Time
	cause   mill.FinishCause
	// gauge is the latest tail of a serving task's response times in milliseconds.
	gauge float64
	// slowed is by how much of full pace the run is slowed down, in percent.
	slowed   int
	paceSent time.Time
	// failedBefore says that an earlier run of the task has failed.
	failedBefore bool
}

func (r *run) ref() mill.RunRef {
	return mill.RunRef{Task: r.task, Run: r.number}
}
