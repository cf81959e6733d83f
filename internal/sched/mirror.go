package sched

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// mirror is the scheduler's copy of the ledger's jobs with the workers.
type mirror struct {
	jobs    map[string]*mill.Job
	order   []string
	workers map[string]*worker
	// written holds, for each job, the index of this scheduler's last write to it.
	written map[string]uint64
	// ending holds the endings that may be committed or not. An attempt among
	// them must never be ordered to run again.
	ending map[mill.TaskRef]ledger.Completion
}

func newMirror() *mirror {
	return &mirror{
		jobs:    make(map[string]*mill.Job),
		workers: make(map[string]*worker),
		written: make(map[string]uint64),
		ending:  make(map[mill.TaskRef]ledger.Completion),
	}
}

// update takes a form of a job that was read at an index, unless this scheduler
// has written to it since.
func (m *mirror) update(job mill.Job, readAt uint64) {
	if readAt < m.written[job.ID] {
		return
	}

	if old, ok := m.jobs[job.ID]; ok {
		m.releaseAll(old)
	} else {
		m.order = append(m.order, job.ID)
	}

	m.forgetEndings(&job)

	if job.Final() {
		delete(m.jobs, job.ID)
		delete(m.written, job.ID)
		m.order = slices.DeleteFunc(m.order, func(id string) bool { return id == job.ID })

		return
	}

	m.jobs[job.ID] = &job
	m.takeAll(&job)
}

// forgetEndings drops the endings of attempts that the ledger shows as ended.
func (m *mirror) forgetEndings(job *mill.Job) {
	for ref := range m.ending {
		if ref.Job != job.ID {
			continue
		}

		task := &job.Tasks[ref.Index]
		if task.State != mill.TaskAssigned || task.Attempt != ref.Attempt {
			delete(m.ending, ref)
		}
	}
}

func (m *mirror) takeAll(job *mill.Job) {
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if task.State == mill.TaskAssigned {
			m.worker(task.Worker).take(refOf(job, i), job.Spec.PerTask)
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

// worker returns the worker of that id, one not heard yet if need be.
func (m *mirror) worker(id string) *worker {
	w, ok := m.workers[id]
	if !ok {
		w = newWorker(id)
		m.workers[id] = w
	}

	return w
}

// assigned returns the job of an attempt that the ledger has given to a worker.
func (m *mirror) assigned(ref mill.TaskRef, to string) (*mill.Job, bool) {
	job, ok := m.jobs[ref.Job]
	if !ok || ref.Index < 0 || ref.Index >= len(job.Tasks) {
		return nil, false
	}

	task := &job.Tasks[ref.Index]

	return job, task.State == mill.TaskAssigned && task.Attempt == ref.Attempt && task.Worker == to
}

// place notes a placement that the ledger has committed.
func (m *mirror) place(placement *ledger.Placement, index uint64) {
	job, ok := m.jobs[placement.Job]
	if !ok {
		return
	}

	m.written[placement.Job] = index

	task := &job.Tasks[placement.Index]
	if task.State != mill.TaskPending || placement.Attempt != task.Attempt+1 {
		return
	}

	task.State = mill.TaskAssigned
	task.Attempt = placement.Attempt
	task.Worker = placement.Worker
	m.worker(placement.Worker).take(placement.TaskRef, job.Spec.PerTask)
}

// end notes an ending until the ledger's form of the job arrives.
func (m *mirror) end(ending *ledger.Completion, index uint64) {
	delete(m.ending, ending.TaskRef)

	job, ok := m.jobs[ending.Job]
	if !ok || job.Tasks[ending.Index].Attempt != ending.Attempt {
		return
	}

	m.worker(job.Tasks[ending.Index].Worker).release(ending.TaskRef)

	m.written[ending.Job] = index

	task := &job.Tasks[ending.Index]
	task.State = ending.State
	task.Worker = ""
}

// sortedRefs returns the keys in an order that does not change from run to run.
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
