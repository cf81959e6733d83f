package sched

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// mirror is the scheduler's in-memory copy of the ledger's unfinished jobs, and the known workers.
type mirror struct {
	jobs     map[string]*mill.Job
	jobOrder []string
	workers  map[string]*worker
	// lastWrite is, by job, the log index of this scheduler's last write to the job.
	lastWrite map[string]uint64
	// unconfirmed holds completions of which it is unknown whether they are committed. Their attempts
	// must never be ordered to run again.
	unconfirmed map[mill.TaskRef]ledger.Completion
}

func newMirror() *mirror {
	return &mirror{
		jobs:        make(map[string]*mill.Job),
		workers:     make(map[string]*worker),
		lastWrite:   make(map[string]uint64),
		unconfirmed: make(map[mill.TaskRef]ledger.Completion),
	}
}

// update stores a job as read at a log index, unless this scheduler has written to the job since.
func (m *mirror) update(job mill.Job, readAt uint64) {
	if readAt < m.lastWrite[job.ID] {
		return
	}

	if old, ok := m.jobs[job.ID]; ok {
		m.releaseAll(old)
	} else {
		m.jobOrder = append(m.jobOrder, job.ID)
	}

	m.dropConfirmed(&job)

	if job.Final() {
		delete(m.jobs, job.ID)
		delete(m.lastWrite, job.ID)
		m.jobOrder = slices.DeleteFunc(m.jobOrder, func(id string) bool { return id == job.ID })

		return
	}

	m.jobs[job.ID] = &job
	m.reserveAll(&job)
}

// dropConfirmed removes unconfirmed completions of attempts that the ledger shows as no longer
// assigned.
func (m *mirror) dropConfirmed(job *mill.Job) {
	for ref := range m.unconfirmed {
		if ref.Job != job.ID {
			continue
		}

		task := &job.Tasks[ref.Index]
		if task.State != mill.TaskAssigned || task.Attempt != ref.Attempt {
			delete(m.unconfirmed, ref)
		}
	}
}

func (m *mirror) reserveAll(job *mill.Job) {
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.State == mill.TaskAssigned {
			m.worker(task.Worker).reserve(refOf(job, i), job.Spec.PerTask)
		}
	}
}

func (m *mirror) releaseAll(job *mill.Job) {
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.State == mill.TaskAssigned {
			m.worker(task.Worker).release(refOf(job, i))
		}
	}
}

// worker returns the worker with the id, adding it if it is not known yet.
func (m *mirror) worker(id string) *worker {
	w, ok := m.workers[id]
	if !ok {
		w = newWorker(id)
		m.workers[id] = w
	}

	return w
}

// assigned returns the job of an attempt, and whether the attempt is assigned to the worker.
func (m *mirror) assigned(ref mill.TaskRef, to string) (*mill.Job, bool) {
	job, ok := m.jobs[ref.Job]
	if !ok || ref.Index < 0 || ref.Index >= len(job.Tasks) {
		return nil, false
	}

	task := &job.Tasks[ref.Index]

	return job, task.State == mill.TaskAssigned && task.Attempt == ref.Attempt && task.Worker == to
}

// applyPlacement applies a committed placement to the mirror.
func (m *mirror) applyPlacement(placement *ledger.Placement, index uint64) {
	job, ok := m.jobs[placement.Job]
	if !ok {
		return
	}

	m.lastWrite[placement.Job] = index

	task := &job.Tasks[placement.Index]
	if task.State != mill.TaskPending || placement.Attempt != task.Attempt+1 {
		return
	}

	task.State = mill.TaskAssigned
	task.Attempt = placement.Attempt
	task.Worker = placement.Worker
	m.worker(placement.Worker).reserve(placement.TaskRef, job.Spec.PerTask)
}

// applyCompletion applies a committed completion to the mirror until the job is read from the ledger.
func (m *mirror) applyCompletion(completion *ledger.Completion, index uint64) {
	delete(m.unconfirmed, completion.TaskRef)

	job, ok := m.jobs[completion.Job]
	if !ok || job.Tasks[completion.Index].Attempt != completion.Attempt {
		return
	}

	m.worker(job.Tasks[completion.Index].Worker).release(completion.TaskRef)

	m.lastWrite[completion.Job] = index

	task := &job.Tasks[completion.Index]
	task.State = completion.State
	task.Worker = ""
}

// sortedRefs returns the keys in a deterministic order.
func sortedRefs[V any](refs map[mill.TaskRef]V) []mill.TaskRef {
	return slices.SortedFunc(maps.Keys(refs), func(a, b mill.TaskRef) int {
		return cmp.Or(
			cmp.Compare(a.Job, b.Job),
			cmp.Compare(a.Index, b.Index),
			cmp.Compare(a.Attempt, b.Attempt),
		)
	})
}

func refOf(job *mill.Job, index int) mill.TaskRef {
	return mill.TaskRef{Job: job.ID, Index: index, Attempt: job.Tasks[index].Attempt}
}
