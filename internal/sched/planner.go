package sched

import (
	"fmt"
	"slices"

	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// placementsAtOnce bounds the placements in one write to the ledger.
const placementsAtOnce = 256

// plan returns the placements for what is pending and fits, the urgent jobs
// first. What does not fit never holds up what stands behind it.
func (m *mirror) plan(placer mill.Placer) [][]ledger.Placement {
	free := m.liveWorkers()

	var plans [][]ledger.Placement

	var chunk []ledger.Placement

	for _, id := range m.planOrder() {
		job := m.jobs[id]
		placed := m.planJob(job, placer, free)

		if job.Spec.Kind == mill.KindAllAtOnce && len(placed) > 0 {
			plans = append(plans, placed)

			continue
		}

		chunk = append(chunk, placed...)

		if len(chunk) >= placementsAtOnce {
			plans = append(plans, chunk)
			chunk = nil
		}
	}

	if len(chunk) > 0 {
		plans = append(plans, chunk)
	}

	return plans
}

// planOrder returns the jobs in the order of their acceptance, the urgent ones first.
func (m *mirror) planOrder() []string {
	order := slices.Clone(m.order)

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

// planJob takes from free what it places; an all-at-once job gets every task
// placed or none.
func (m *mirror) planJob(job *mill.Job, placer mill.Placer, free []*mill.WorkerView) []ledger.Placement {
	if job.Canceled {
		return nil
	}

	var placed []ledger.Placement

	var taken []*mill.WorkerView

	whole := true

	for i := range job.Tasks {
		if job.Tasks[i].State != mill.TaskPending {
			continue
		}

		target := best(free, placer, job.Spec.PerTask)
		if target == nil {
			whole = false

			break
		}

		target.Free = target.Free.Sub(job.Spec.PerTask)
		taken = append(taken, target)
		placed = append(placed, placement(job, i, target.ID))
	}

	if job.Spec.Kind == mill.KindAllAtOnce && !whole {
		giveBack(taken, job.Spec.PerTask)

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

func giveBack(taken []*mill.WorkerView, each mill.Resources) {
	for _, view := range taken {
		view.Free = view.Free.Add(each)
	}
}

// best returns the worker with the highest score among those with room.
func best(free []*mill.WorkerView, placer mill.Placer, each mill.Resources) *mill.WorkerView {
	var chosen *mill.WorkerView

	highest := 0.0

	for _, view := range free {
		if !each.Fits(view.Free) {
			continue
		}

		score := placer.Score(view, each)
		if chosen == nil || score > highest {
			chosen = view
			highest = score
		}
	}

	return chosen
}

// liveWorkers returns copies of the workers that may be given tasks.
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

// explain counts the workers by why they do not take a job's tasks.
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
		return "it was canceled"
	case reply.Pending == 0:
		return "no task of it waits"
	case reply.Workers == 0:
		return "no worker is live"
	case reply.TooSmall == reply.Workers:
		return fmt.Sprintf("no worker is large enough for %+v: it can never run here", job.Spec.PerTask)
	case reply.Fits == 0:
		return "every worker that is large enough is full"
	default:
		return "some tasks fit; it is being placed"
	}
}
