package sched

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// worker is what the active scheduler knows of one worker.
type worker struct {
	view        mill.WorkerView
	incarnation uint64
	heard       time.Time
	enrolled    bool
	live        bool
	tasks       map[mill.TaskRef]mill.Resources
}

func newWorker(id string) *worker {
	return &worker{
		view:  mill.WorkerView{ID: id},
		tasks: make(map[mill.TaskRef]mill.Resources),
	}
}

func (w *worker) take(ref mill.TaskRef, each mill.Resources) {
	if _, ok := w.tasks[ref]; ok {
		return
	}

	w.tasks[ref] = each
	w.view.Free = w.view.Free.Sub(each)
}

func (w *worker) release(ref mill.TaskRef) {
	each, ok := w.tasks[ref]
	if !ok {
		return
	}

	delete(w.tasks, ref)
	w.view.Free = w.view.Free.Add(each)
}

func (w *worker) setCapacity(capacity mill.Resources) {
	free := capacity

	for _, each := range w.tasks {
		free = free.Sub(each)
	}

	w.view.Capacity = capacity
	w.view.Free = free
}
