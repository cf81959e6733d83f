package plan

import (
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Site is a worker that is considered for the tasks of one step.
type Site struct {
	View mill.WorkerView
	// Mine is the number of tasks of the step on the worker.
	Mine int
	// Trial means that the worker may run only one task at a time.
	Trial bool
	// Busy means that the worker has at least one task, of any step.
	Busy bool
	// Shares means that the task would interfere with tasks on the worker, or they with it.
	Shares bool
	// Slowness is the worker's run time relative to that of other workers.
	Slowness float64
}

// Demand holds the placement requirements of a step.
type Demand struct {
	// Each is the capacity that one task reserves.
	Each mill.Resources
	// MaxPerWorker limits the tasks of the step on one worker; 0 for no limit.
	MaxPerWorker int
	// NearRack is the preferred rack; "" for none.
	NearRack string
	// OneRack means that all tasks go to one rack if any rack has the capacity for them.
	OneRack bool
	// Hurry is 1 if fast workers are preferred, -1 if slow ones are, and 0 if it does not matter.
	Hurry float64
}

// preferredRackBonus outweighs the placer's score and all penalties.
const preferredRackBonus = 1000

// slownessPenalty weighs a worker's slowness against the placer's score: a worker whose runs
// take a quarter longer is rated like one that is empty instead of half full.
const slownessPenalty = 4

// contentionPenalty is the penalty for tasks that interfere with each other: it outweighs the placer's
// score, but not the preferred rack.
const contentionPenalty = 200

// Best returns the index of the worker with the highest score that can take one more task, or -1.
// The avoid function, unless nil, excludes workers.
func Best(workers []Site, demand *Demand, placer mill.Placer, avoid func(worker string) bool) int {
	best, bestScore := -1, 0.0

	for i := range workers {
		worker := &workers[i]

		if !worker.canTake(demand) || (avoid != nil && avoid(worker.View.ID)) {
			continue
		}

		score := placer.Score(&worker.View, demand.Each) - slownessPenalty*demand.Hurry*worker.Slowness
		if worker.Shares {
			score -= contentionPenalty
		}

		if demand.NearRack != "" && worker.View.Rack == demand.NearRack {
			score += preferredRackBonus
		}

		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}

	return best
}

func (s *Site) canTake(demand *Demand) bool {
	if !demand.Each.Fits(s.View.Free) || (s.Trial && s.Busy) {
		return false
	}

	return demand.MaxPerWorker == 0 || s.Mine < demand.MaxPerWorker
}

// Take reserves capacity for one more task of the step.
func (s *Site) Take(perTask mill.Resources) {
	s.View.Free = s.View.Free.Sub(perTask)
	s.Mine++
	s.Busy = true
}

// Spread places count identical tasks and returns the index of each task's worker; it returns
// fewer than count when the capacity does not suffice. With OneRack, the tasks go to a single
// rack if one has the capacity for all of them.
func Spread(
	workers []Site, demand *Demand, count int, placer mill.Placer, avoid func(index int, worker string) bool,
) []int {
	if demand.OneRack {
		if chosen := placeOnOneRack(workers, demand, count, placer, avoid); chosen != nil {
			return chosen
		}
	}

	return placeGreedily(workers, demand, count, placer, avoid)
}

func placeGreedily(
	workers []Site, demand *Demand, count int, placer mill.Placer, avoid func(index int, worker string) bool,
) []int {
	chosen := make([]int, 0, count)

	for index := range count {
		at := Best(workers, demand, placer, func(worker string) bool { return avoid != nil && avoid(index, worker) })
		if at < 0 {
			break
		}

		workers[at].Take(demand.Each)
		chosen = append(chosen, at)
	}

	return chosen
}

// placeOnOneRack returns nil when no rack has the capacity for all tasks.
func placeOnOneRack(
	workers []Site, demand *Demand, count int, placer mill.Placer, avoid func(index int, worker string) bool,
) []int {
	var racks []string

	for i := range workers {
		rack := workers[i].View.Rack
		if len(racks) == 0 || racks[len(racks)-1] != rack {
			racks = append(racks, rack)
		}
	}

	for _, rack := range racks {
		onRack := append([]Site(nil), workers...)
		for i := range onRack {
			if onRack[i].View.Rack != rack {
				onRack[i].View.Free = mill.Resources{MilliCores: -1}
			}
		}

		if chosen := placeGreedily(onRack, demand, count, placer, avoid); len(chosen) == count {
			for _, at := range chosen {
				workers[at].Take(demand.Each)
			}

			return chosen
		}
	}

	return nil
}
