package ledger

import (
	"container/list"
	"fmt"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// MaxFinishedJobs is the maximum number of finished jobs kept for show and list.
const MaxFinishedJobs = 20000

// worker is the capacity and usage of a worker, against which placements are checked.
type worker struct {
	Capacity mill.Resources
	Used     mill.Resources
}

// jobs holds the jobs, ordered by latest change, and the capacity and usage of the workers.
type jobs struct {
	byID     map[string]*jobRecord
	changed  *list.List
	finished *list.List
	workers  map[string]*worker
}

// jobRecord is a job with the index of its latest change and its element in jobs.changed.
type jobRecord struct {
	Job     mill.Job
	Index   uint64
	element *list.Element
}

func newJobs() *jobs {
	return &jobs{
		byID:     make(map[string]*jobRecord),
		changed:  list.New(),
		finished: list.New(),
		workers:  make(map[string]*worker),
	}
}

func (t *jobs) submit(index uint64, command *Submit) Result {
	if _, ok := t.byID[command.ID]; ok {
		return Result{Status: StatusOK}
	}

	record := &jobRecord{Job: mill.Job{
		ID:    command.ID,
		Spec:  command.Spec,
		Tasks: make([]mill.Task, command.Spec.Tasks),
	}}
	for i := range record.Job.Tasks {
		record.Job.Tasks[i].State = mill.TaskPending
	}

	t.byID[command.ID] = record
	t.recordChange(index, record)

	return Result{Status: StatusOK}
}

func (t *jobs) cancel(index uint64, command *Cancel) Result {
	record, ok := t.byID[command.ID]
	if !ok {
		return Result{Status: StatusNotFound}
	}

	if record.Job.Canceled || record.Job.Final() {
		return Result{Status: StatusOK}
	}

	record.Job.Canceled = true

	for i := range record.Job.Tasks {
		if record.Job.Tasks[i].State == mill.TaskPending {
			record.Job.Tasks[i].State = mill.TaskCanceled
		}
	}

	t.recordChange(index, record)

	return Result{Status: StatusOK}
}

func (t *jobs) enroll(command *Enroll) Result {
	known, ok := t.workers[command.Worker]
	if !ok {
		known = &worker{}
		t.workers[command.Worker] = known
	}

	known.Capacity = command.Capacity

	return Result{Status: StatusOK}
}

// assign checks every placement before it applies any, so that an all-at-once
// job gets all of its workers or none.
func (t *jobs) assign(index uint64, command *Assign) Result {
	wanted := make(map[string]mill.Resources)
	seen := make(map[mill.TaskRef]bool)

	for _, placement := range command.Placements {
		reason := t.checkPlacement(&placement, wanted, seen)
		if reason != "" {
			return Result{Status: StatusRefused, Reason: reason}
		}
	}

	for _, placement := range command.Placements {
		record := t.byID[placement.Job]
		task := &record.Job.Tasks[placement.Index]
		task.State = mill.TaskAssigned
		task.Attempt = placement.Attempt
		task.Worker = placement.Worker
		t.workers[placement.Worker].Used = t.workers[placement.Worker].Used.Add(record.Job.Spec.PerTask)
		t.recordChange(index, record)
	}

	return Result{Status: StatusOK}
}

func (t *jobs) checkPlacement(
	placement *Placement, wanted map[string]mill.Resources, seen map[mill.TaskRef]bool,
) string {
	record, ok := t.byID[placement.Job]
	if !ok || placement.Index < 0 || placement.Index >= len(record.Job.Tasks) {
		return fmt.Sprintf("job %s task %d: not found", placement.Job, placement.Index)
	}

	task := &record.Job.Tasks[placement.Index]
	if task.State != mill.TaskPending || placement.Attempt != task.Attempt+1 || seen[placement.TaskRef] {
		return fmt.Sprintf("job %s task %d: %s at attempt %d", placement.Job, placement.Index, task.State, task.Attempt)
	}

	seen[placement.TaskRef] = true

	target, ok := t.workers[placement.Worker]
	if !ok {
		return fmt.Sprintf("worker %s: not enrolled", placement.Worker)
	}

	wanted[placement.Worker] = wanted[placement.Worker].Add(record.Job.Spec.PerTask)
	if !wanted[placement.Worker].Fits(target.Capacity.Sub(target.Used)) {
		return fmt.Sprintf("worker %s: no free capacity", placement.Worker)
	}

	return ""
}

func (t *jobs) complete(index uint64, command *Complete) Result {
	for i := range command.Completions {
		t.completeAttempt(index, &command.Completions[i])
	}

	return Result{Status: StatusOK}
}

// completeAttempt ignores attempts that are not running, such as one completed before.
func (t *jobs) completeAttempt(index uint64, completion *Completion) {
	record, ok := t.byID[completion.Job]
	if !ok || completion.Index < 0 || completion.Index >= len(record.Job.Tasks) {
		return
	}

	task := &record.Job.Tasks[completion.Index]
	if task.State != mill.TaskAssigned || task.Attempt != completion.Attempt {
		return
	}

	used := t.workers[task.Worker]
	used.Used = used.Used.Sub(record.Job.Spec.PerTask)

	task.State = completedState(&record.Job, completion.State)
	task.Worker = ""
	task.Reason = completion.Reason

	if completion.State == mill.TaskFailed {
		t.countFailure(&record.Job, task)
	}

	t.recordChange(index, record)
}

// completedState returns the task's new state. A task of a canceled job does not
// return to the queue.
func completedState(job *mill.Job, state mill.TaskState) mill.TaskState {
	if state == mill.TaskPending && job.Canceled {
		return mill.TaskCanceled
	}

	return state
}

// countFailure counts a task's failure and returns the task to the queue while it
// has retries left.
func (t *jobs) countFailure(job *mill.Job, task *mill.Task) {
	task.Failures++

	if task.Failures <= job.Spec.MaxRetries && !job.Canceled {
		task.State = mill.TaskPending
	}
}

func (t *jobs) recordChange(index uint64, record *jobRecord) {
	record.Index = index

	if record.element == nil {
		record.element = t.changed.PushBack(record)
	} else {
		t.changed.MoveToBack(record.element)
	}

	if !record.Job.Final() {
		return
	}

	t.finished.PushBack(record.Job.ID)

	for t.finished.Len() > MaxFinishedJobs {
		t.remove(t.finished.Remove(t.finished.Front()).(string))
	}
}

func (t *jobs) remove(id string) {
	record, ok := t.byID[id]
	if !ok {
		return
	}

	t.changed.Remove(record.element)
	delete(t.byID, id)
}

// since returns about limit jobs changed after index, oldest change first, and
// the index up to which they are complete. That index is commit if no job was left
// out. Jobs changed by one entry are never split, so there may be more than limit.
func (t *jobs) since(index uint64, limit int, commit uint64) ([]mill.Job, uint64) {
	element := t.changed.Back()
	for element != nil && element.Value.(*jobRecord).Index > index {
		element = element.Prev()
	}

	if element == nil {
		element = t.changed.Front()
	} else {
		element = element.Next()
	}

	var found []mill.Job

	last := index

	for ; element != nil; element = element.Next() {
		record := element.Value.(*jobRecord)
		if len(found) >= limit && record.Index != last {
			return found, last
		}

		found = append(found, cloneJob(&record.Job))
		last = record.Index
	}

	return found, commit
}

func cloneJob(job *mill.Job) mill.Job {
	clone := *job
	clone.Tasks = append([]mill.Task(nil), job.Tasks...)

	return clone
}
