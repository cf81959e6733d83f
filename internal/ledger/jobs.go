package ledger

import (
	"container/list"
	"fmt"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// MaxFinishedJobs bounds the jobs kept for show and list after they ended.
const MaxFinishedJobs = 20000

// worker is what the ledger knows of a worker, to refuse what does not fit.
type worker struct {
	Capacity mill.Resources
	Used     mill.Resources
}

// jobs holds the jobs, in the order of their latest change, and what they use.
type jobs struct {
	byID     map[string]*jobRecord
	changed  *list.List
	finished *list.List
	workers  map[string]*worker
}

// jobRecord is a job with its place in the order of changes.
type jobRecord struct {
	Job   mill.Job
	Index uint64
	place *list.Element
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
	t.touch(index, record)

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

	t.touch(index, record)

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

// assign checks every placement before it changes anything, so that an
// all-at-once job gets all or nothing.
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
		t.touch(index, record)
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
		return fmt.Sprintf("worker %s: has no room", placement.Worker)
	}

	return ""
}

func (t *jobs) end(index uint64, command *End) Result {
	for i := range command.Endings {
		t.endOne(index, &command.Endings[i])
	}

	return Result{Status: StatusOK}
}

// endOne ignores an ending of an attempt that has ended already.
func (t *jobs) endOne(index uint64, ending *Ending) {
	record, ok := t.byID[ending.Job]
	if !ok || ending.Index < 0 || ending.Index >= len(record.Job.Tasks) {
		return
	}

	task := &record.Job.Tasks[ending.Index]
	if task.State != mill.TaskAssigned || task.Attempt != ending.Attempt {
		return
	}

	used := t.workers[task.Worker]
	used.Used = used.Used.Sub(record.Job.Spec.PerTask)

	task.State = endState(&record.Job, ending.State)
	task.Worker = ""
	task.Reason = ending.Reason

	if ending.State == mill.TaskFailed {
		t.fail(&record.Job, task)
	}

	t.touch(index, record)
}

// endState keeps a task of a canceled job from being put back.
func endState(job *mill.Job, state mill.TaskState) mill.TaskState {
	if state == mill.TaskPending && job.Canceled {
		return mill.TaskCanceled
	}

	return state
}

// fail puts a failed task back while the job has retries left.
func (t *jobs) fail(job *mill.Job, task *mill.Task) {
	task.Failures++

	if task.Failures <= job.Spec.MaxRetries && !job.Canceled {
		task.State = mill.TaskPending
	}
}

func (t *jobs) touch(index uint64, record *jobRecord) {
	record.Index = index

	if record.place == nil {
		record.place = t.changed.PushBack(record)
	} else {
		t.changed.MoveToBack(record.place)
	}

	if !record.Job.Final() {
		return
	}

	t.finished.PushBack(record.Job.ID)

	for t.finished.Len() > MaxFinishedJobs {
		t.drop(t.finished.Remove(t.finished.Front()).(string))
	}
}

func (t *jobs) drop(id string) {
	record, ok := t.byID[id]
	if !ok {
		return
	}

	t.changed.Remove(record.place)
	delete(t.byID, id)
}

// since returns about limit jobs changed after index, the oldest change first,
// and the index up to which nothing is missing: all, when none was left out.
func (t *jobs) since(index uint64, limit int, all uint64) ([]mill.Job, uint64) {
	first := t.changed.Back()
	for first != nil && first.Value.(*jobRecord).Index > index {
		first = first.Prev()
	}

	if first == nil {
		first = t.changed.Front()
	} else {
		first = first.Next()
	}

	var found []mill.Job

	last := index

	for ; first != nil; first = first.Next() {
		record := first.Value.(*jobRecord)
		if len(found) >= limit && record.Index != last {
			return found, last
		}

		found = append(found, cloneJob(&record.Job))
		last = record.Index
	}

	return found, all
}

func cloneJob(job *mill.Job) mill.Job {
	clone := *job
	clone.Tasks = append([]mill.Task(nil), job.Tasks...)

	return clone
}
