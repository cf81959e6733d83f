package jobs

import (
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// GangRun decides how the ends of one run of a gang are committed, so that the run is one failed attempt however many of its
// members fail. Replicas add up the members' runs that are committed as failed, and those of an earlier build do nothing
// else. So the leader decides: it commits one member's run as failed, and the others as ended with it. The zero value leaves
// all ends as they are.
type GangRun struct {
	// limit is the number of failed attempts after which the job fails, and attempts that of the earlier runs.
	limit    int
	attempts int
	// replicaLimit is the number of failures after which replicas fail the job. It may differ where queues share a name.
	replicaLimit int
	// counted is the number of failures that replicas have added up. It exceeds the attempts in data of an earlier build.
	counted int
	// failed says that a member has failed, and counts is the index of the one whose end counts, or noMember.
	failed bool
	counts int
}

// noMember is the index of no member of a gang.
const noMember = -1

// NewGangRun returns what the state shows of a run of a gang.
func NewGangRun(job *Job, id mill.StepID, number int) *GangRun {
	g := &GangRun{limit: job.SelectedQueue().MaxAttempts, replicaLimit: job.Queue.MaxAttempts, counts: noMember}
	if job.Work.Steps[id.Step].LongRunning {
		g.limit, g.replicaLimit = 0, 0 // Its runs may fail at any time.
	}

	step, _ := job.Task(id.Task(0))
	if step == nil {
		return g // The occurrence starts with this run.
	}

	g.attempts = job.Attempts(id.Task(0))
	g.counted = job.countedFailures(id.Task(0))

	if slices.Contains(step.FailedRuns, number) {
		g.failed = true
		g.attempts--
	}

	return g
}

// Amend makes the end of a member's run one to commit. An end that is proposed again counts as it did before.
func (g *GangRun) Amend(finished *Finish) {
	if g.limit <= 0 && g.replicaLimit <= 0 {
		return
	}

	if finished.Cause == mill.FinishFailed {
		g.amendFailure(finished)
	}

	// The end that counts may be lost with its leader and its worker after another one of the run was committed.
	if g.failed && reaches(g.limit, g.attempts+1) && finished.Cause != mill.FinishDone {
		finished.GivesUp = true
	}
}

func (g *GangRun) amendFailure(finished *Finish) {
	if !g.failed {
		g.failed = true
		g.counts = finished.Task.Index
	}

	if g.limit > 0 {
		finished.Attempts = g.attempts + 1
	}

	// The last attempt ends the job by GivesUp.
	if finished.Task.Index != g.counts || reaches(g.replicaLimit, g.counted+1) {
		finished.failWithoutCount()
	}
}
