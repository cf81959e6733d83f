package sched

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// worker is the active scheduler's record of one worker.
type worker struct {
	view          mill.WorkerView
	incarnation   uint64
	lastHeartbeat time.Time
	enrolled      bool
	live          bool
	tasks         map[mill.TaskRef]mill.Resources
}

func newWorker(id string) *worker {
	return &worker{
		view:  mill.WorkerView{ID: id},
		tasks: make(map[mill.TaskRef]mill.Resources),
	}
}

func (w *worker) reserve(ref mill.TaskRef, resources mill.Resources) {
	if _, ok := w.tasks[ref]; ok {
		return
	}

	w.tasks[ref] = resources
	w.view.Free = w.view.Free.Sub(resources)
}

func (w *worker) release(ref mill.TaskRef) {
	resources, ok := w.tasks[ref]
	if !ok {
		return
	}

	delete(w.tasks, ref)
	w.view.Free = w.view.Free.Add(resources)
}

func (w *worker) setCapacity(capacity mill.Resources) {
	free := capacity

	for _, resources := range w.tasks {
		free = free.Sub(resources)
	}

	w.view.Capacity = capacity
	w.view.Free = free
}
