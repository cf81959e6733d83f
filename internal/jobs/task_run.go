package jobs

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// TaskRun decides how the failed end of a task's run is committed where several queues have the name of the job's queue.
// Replicas count failures up to the MaxAttempts of the first one, as those of an earlier build do, so the leader decides by
// the queue that the job belongs to. The zero value and nil leave all ends as they are.
type TaskRun struct {
	// limit is the number of failed runs after which the job fails, and attempts that of the earlier ones.
	limit    int
	attempts int
	// replicaLimit and counted are what replicas go by.
	replicaLimit int
	counted      int
}

// NewTaskRun returns what the state shows of the earlier runs of a task, or nil if replicas go by the job's own queue. The
// job does not hold the task yet if an occurrence starts with this run.
func NewTaskRun(job *Job, id mill.TaskID, task *Task) *TaskRun {
	limit := job.SelectedQueue().MaxAttempts
	if limit == job.Queue.MaxAttempts || job.Work.Steps[id.Step].LongRunning {
		return nil
	}

	return &TaskRun{
		limit: limit, attempts: task.failedRuns(),
		replicaLimit: job.Queue.MaxAttempts, counted: task.Failures,
	}
}

// Amend makes the end of the run one to commit.
func (r *TaskRun) Amend(finished *Finish) {
	if r == nil || finished.Cause != mill.FinishFailed {
		return
	}

	switch {
	case reaches(r.limit, r.attempts+1):
		finished.GivesUp = true
	case reaches(r.replicaLimit, r.counted+1):
		finished.failWithoutCount()
	default:
	}
}

// reaches reports whether a number of failures is as many as a queue allows, which may allow any number.
func reaches(limit, failures int) bool {
	return limit > 0 && failures >= limit
}

// failWithoutCount makes a failed end one that no replica counts. Those of earlier builds know failed ends by their cause.
func (f *Finish) failWithoutCount() {
	f.Cause = mill.FinishGangMemberLost
	f.MemberFailed = true
}
