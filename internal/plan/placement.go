package plan

import (
	"container/heap"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// CandidateWorker is a worker that is considered for the tasks of one step.
type CandidateWorker struct {
	View mill.WorkerView
	// StepTasks is the number of tasks of the step on the worker.
	StepTasks int
	// OnProbation means that the worker may be given only one task at a time, and Tried that it has got one.
	OnProbation bool
	Tried       bool
	// Quarantined workers are only used if no other has room.
	Quarantined bool
	// Busy means that the worker has at least one task, of any step.
	Busy bool
	// Contended means that the task would interfere with tasks on the worker, or they with it.
	Contended bool
	// Slowness is the worker's run time relative to that of other workers.
	Slowness float64
}

// Demand holds the placement requirements of a step.
type Demand struct {
	// PerTask is the capacity that one task reserves.
	PerTask mill.Resources
	// MaxPerWorker limits the tasks of the step on one worker; 0 for no limit.
	MaxPerWorker int
	// PreferredRack is the preferred rack; "" for none.
	PreferredRack string
	// SameRack means that all tasks go to one rack if any rack has the capacity for them.
	SameRack bool
	// SpeedPreference is 1 if fast workers are preferred, -1 if slow ones are, and 0 if it does not matter.
	SpeedPreference float64
	// PreferIdle prefers workers without tasks.
	PreferIdle bool
}

// preferredRackBonus outweighs the placer's score and all penalties.
const preferredRackBonus = 1000

// slownessPenalty weighs a worker's slowness against the placer's score: a worker whose runs
// take a quarter longer is rated like one that is empty instead of half full.
const slownessPenalty = 4

// contentionPenalty is the penalty for tasks that interfere with each other: it outweighs the placer's
// score, but not the preferred rack.
const contentionPenalty = 200

// busyPenalty is the penalty for workers with tasks where idle ones are preferred: it outweighs all else.
const busyPenalty = 2000

// quarantinePenalty is the penalty for workers that seem faulty: it outweighs all else together.
const quarantinePenalty = 4000

// BestWorker returns the index of the worker with the highest score that can take one more task, or -1.
// The avoid function, unless nil, excludes workers.
func BestWorker(workers []CandidateWorker, demand *Demand, placer mill.Placer, avoid func(worker string) bool) int {
	best, bestScore := -1, 0.0

	for i := range workers {
		worker := &workers[i]

		if !worker.canTake(demand) || (avoid != nil && avoid(worker.View.ID)) {
			continue
		}

		if score := worker.score(demand, placer); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}

	return best
}

// score rates a worker for one more task of the step.
func (w *CandidateWorker) score(demand *Demand, placer mill.Placer) float64 {
	score := placer.Score(&w.View, demand.PerTask) - slownessPenalty*demand.SpeedPreference*w.Slowness
	if w.Contended {
		score -= contentionPenalty
	}

	if w.Quarantined {
		score -= quarantinePenalty
	}

	if demand.PreferIdle && w.Busy {
		score -= busyPenalty
	}

	if demand.PreferredRack != "" && w.View.Rack == demand.PreferredRack {
		score += preferredRackBonus
	}

	return score
}

func (w *CandidateWorker) canTake(demand *Demand) bool {
	if !demand.PerTask.Fits(w.View.Free) || (w.OnProbation && w.Tried) {
		return false
	}

	return demand.MaxPerWorker == 0 || w.StepTasks < demand.MaxPerWorker
}

// Reserve reserves capacity for one more task of the step.
func (w *CandidateWorker) Reserve(perTask mill.Resources) {
	w.View.Free = w.View.Free.Sub(perTask)
	w.StepTasks++
	w.Busy = true
	w.Tried = true
}

// PlaceTasks places count identical tasks, reserves their capacity in workers, and returns the index of
// each task's worker; it returns fewer than count when the capacity does not suffice. With
// SameRack, the tasks go to a single rack if one has the capacity for all of them.
func PlaceTasks(
	workers []CandidateWorker, demand *Demand, count int, placer mill.Placer, avoid func(index int, worker string) bool,
) []int {
	if demand.SameRack {
		if chosen := placeOnOneRack(workers, demand, count, placer, avoid); chosen != nil {
			return chosen
		}
	}

	return placeGreedily(workers, demand, count, placer, avoid)
}

// placeGreedily places one task after another on the worker with the highest score. Without an avoid function only
// the score of the worker that was chosen last changes, so the others are not rated again.
func placeGreedily(
	workers []CandidateWorker, demand *Demand, count int, placer mill.Placer, avoid func(index int, worker string) bool,
) []int {
	chosen := make([]int, 0, count)

	if avoid == nil {
		return placeByRating(chosen, workers, demand, count, placer)
	}

	for index := range count {
		at := BestWorker(workers, demand, placer, func(worker string) bool { return avoid(index, worker) })
		if at < 0 {
			break
		}

		workers[at].Reserve(demand.PerTask)
		chosen = append(chosen, at)
	}

	return chosen
}

// placeByRating appends the worker of each task to chosen.
func placeByRating(chosen []int, workers []CandidateWorker, demand *Demand, count int, placer mill.Placer) []int {
	ranked := newRanking(workers, demand, placer)

	for len(chosen) < count && len(ranked) > 0 {
		best := &ranked[0]
		worker := &workers[best.index]

		worker.Reserve(demand.PerTask)
		chosen = append(chosen, best.index)

		if worker.canTake(demand) {
			best.score = worker.score(demand, placer)
			heap.Fix(&ranked, 0)
		} else {
			heap.Pop(&ranked)
		}
	}

	return chosen
}

// placeOnOneRack returns nil when no rack has the capacity for all tasks.
func placeOnOneRack(
	workers []CandidateWorker, demand *Demand, count int, placer mill.Placer, avoid func(index int, worker string) bool,
) []int {
	var racks []string

	members := make(map[string][]int)

	for i := range workers {
		rack := workers[i].View.Rack
		if len(members[rack]) == 0 {
			racks = append(racks, rack)
		}

		members[rack] = append(members[rack], i)
	}

	for _, rack := range racks {
		onRack := make([]CandidateWorker, 0, len(members[rack]))
		for _, at := range members[rack] {
			onRack = append(onRack, workers[at])
		}

		chosen := placeGreedily(onRack, demand, count, placer, avoid)
		if len(chosen) < count {
			continue
		}

		for i, at := range chosen {
			chosen[i] = members[rack][at]
			workers[chosen[i]].Reserve(demand.PerTask)
		}

		return chosen
	}

	return nil
}
