package sched

import (
	"fmt"
	"slices"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// placementBatchSize is the number of placements from which a batch is full and is written to the
// ledger. A batch may be larger, since the tasks of one job stay together.
const placementBatchSize = 256

// plan returns batches of placements for the pending tasks that fit, urgent jobs first. A task that
// does not fit never blocks the jobs behind it.
func (m *mirror) plan(placer mill.Placer) [][]ledger.Placement {
	free := m.liveWorkers()

	var plans [][]ledger.Placement

	var batch []ledger.Placement

	for _, id := range m.planOrder() {
		job := m.jobs[id]
		placed := m.planJob(job, placer, free)

		if job.Spec.Kind == mill.KindAllAtOnce && len(placed) > 0 {
			plans = append(plans, placed)

			continue
		}

		batch = append(batch, placed...)

		if len(batch) >= placementBatchSize {
			plans = append(plans, batch)
			batch = nil
		}
	}

	if len(batch) > 0 {
		plans = append(plans, batch)
	}

	return plans
}

// planOrder returns the jobs in order of acceptance, urgent ones first.
func (m *mirror) planOrder() []string {
	order := slices.Clone(m.jobOrder)

	slices.SortStableFunc(order, func(a, b string) int {
		return urgency(m.jobs[b]) - urgency(m.jobs[a])
	})

	return order
}

func urgency(job *mill.Job) int {
	if job.Spec.Urgent {
		return 1
	}

	return 0
}

// planJob places a job's pending tasks and deducts their resources from the free workers. Of an
// all-at-once job it places all tasks or none.
func (m *mirror) planJob(job *mill.Job, placer mill.Placer, free []*mill.WorkerView) []ledger.Placement {
	if job.Canceled {
		return nil
	}

	var placed []ledger.Placement

	var chosen []*mill.WorkerView

	allPlaced := true

	for i := range job.Tasks {
		if job.Tasks[i].State != mill.TaskPending {
			continue
		}

		target := bestWorker(free, placer, job.Spec.PerTask)
		if target == nil {
			allPlaced = false

			break
		}

		target.Free = target.Free.Sub(job.Spec.PerTask)
		chosen = append(chosen, target)
		placed = append(placed, placement(job, i, target.ID))
	}

	if job.Spec.Kind == mill.KindAllAtOnce && !allPlaced {
		returnCapacity(chosen, job.Spec.PerTask)

		return nil
	}

	return placed
}

func placement(job *mill.Job, index int, worker string) ledger.Placement {
	return ledger.Placement{
		TaskRef: mill.TaskRef{Job: job.ID, Index: index, Attempt: job.Tasks[index].Attempt + 1},
		Worker:  worker,
	}
}

func returnCapacity(chosen []*mill.WorkerView, perTask mill.Resources) {
	for _, view := range chosen {
		view.Free = view.Free.Add(perTask)
	}
}

// bestWorker returns the worker with the highest score among those with enough free capacity, or nil.
func bestWorker(free []*mill.WorkerView, placer mill.Placer, perTask mill.Resources) *mill.WorkerView {
	var chosen *mill.WorkerView

	highest := 0.0

	for _, view := range free {
		if !perTask.Fits(view.Free) {
			continue
		}

		score := placer.Score(view, perTask)
		if chosen == nil || score > highest {
			chosen = view
			highest = score
		}
	}

	return chosen
}

// liveWorkers returns copies of the workers that can be given tasks, sorted by id.
func (m *mirror) liveWorkers() []*mill.WorkerView {
	var views []*mill.WorkerView

	for _, w := range m.workers {
		if w.live && w.enrolled {
			view := w.view
			views = append(views, &view)
		}
	}

	slices.SortFunc(views, func(a, b *mill.WorkerView) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		default:
			return 0
		}
	})

	return views
}

// explain counts the workers by the reason why they do not run a job's tasks.
func (m *mirror) explain(id string) (*ExplainReply, error) {
	job, ok := m.jobs[id]
	if !ok {
		return nil, mill.ErrNotFound
	}

	reply := &ExplainReply{Job: id}

	for i := range job.Tasks {
		if job.Tasks[i].State == mill.TaskPending {
			reply.Pending++
		}
	}

	for _, view := range m.liveWorkers() {
		reply.Workers++

		switch {
		case !job.Spec.PerTask.Fits(view.Capacity):
			reply.TooSmall++
		case !job.Spec.PerTask.Fits(view.Free):
			reply.Full++
		default:
			reply.Fits++
		}
	}

	reply.Verdict = verdict(job, reply)

	return reply, nil
}

func verdict(job *mill.Job, reply *ExplainReply) string {
	switch {
	case job.Canceled:
		return "the job was canceled"
	case reply.Pending == 0:
		return "no task of the job is pending"
	case reply.Workers == 0:
		return "no worker is live"
	case reply.TooSmall == reply.Workers:
		return fmt.Sprintf("no worker is large enough for %+v: the job can never run here", job.Spec.PerTask)
	case reply.Fits == 0:
		return "every worker that is large enough is full"
	default:
		return "some tasks fit and are being placed"
	}
}
