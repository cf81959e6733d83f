package plan

import (
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Site is a worker as a place for tasks of one step.
type Site struct {
	View mill.WorkerView
	// Mine counts the tasks of the step that the worker has.
	Mine int
	// Trial workers are given one task at a time.
	Trial bool
	// Busy says that the worker has any task.
	Busy bool
	// Shares says that the task would run beside tasks that it disturbs or that disturb it.
	Shares bool
	// Slowness is the worker's time for a run as a multiple of the usual one.
	Slowness float64
}

// Demand is what a step wants placed.
type Demand struct {
	// Each is what a task reserves.
	Each mill.Resources
	// MaxPerWorker bounds the tasks of the step on one worker; 0 for no bound.
	MaxPerWorker int
	// NearRack is preferred; "" for none.
	NearRack string
	// OneRack demands that all tasks go to one rack if any rack holds them.
	OneRack bool
	// Hurry is 1 where fast workers are preferred, and -1 where they are left to others.
	Hurry float64
}

// rackWeight makes the right rack count for more than how well a task fits.
const rackWeight = 1000

// slownessScore is what a worker's slowness counts against how well a task fits: a
// worker that takes a quarter longer is as bad as one that is empty instead of half full.
const slownessScore = 4

// sharesScore is what tasks that disturb each other count against how well a task fits:
// more than all of that, but less than the right rack.
const sharesScore = 200

// Best returns the index of the site with the highest score that can take one
// more task, or -1. The avoid function names sites that the task must not go to.
func Best(sites []Site, demand *Demand, placer mill.Placer, avoid func(worker string) bool) int {
	best, bestScore := -1, 0.0

	for i := range sites {
		site := &sites[i]

		if !site.takes(demand) || (avoid != nil && avoid(site.View.ID)) {
			continue
		}

		score := placer.Score(&site.View, demand.Each) - slownessScore*demand.Hurry*site.Slowness
		if site.Shares {
			score -= sharesScore
		}

		if demand.NearRack != "" && site.View.Rack == demand.NearRack {
			score += rackWeight
		}

		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}

	return best
}

func (s *Site) takes(demand *Demand) bool {
	if !demand.Each.Fits(s.View.Free) || (s.Trial && s.Busy) {
		return false
	}

	return demand.MaxPerWorker == 0 || s.Mine < demand.MaxPerWorker
}

// Take charges a site with one more task of the step.
func (s *Site) Take(each mill.Resources) {
	s.View.Free = s.View.Free.Sub(each)
	s.Mine++
	s.Busy = true
}

// Spread places a number of like tasks and returns the sites chosen, in order; it is
// shorter than count when there is no more room. Tasks of one rack are kept
// together where a single rack has room for all of them.
func Spread(sites []Site, demand *Demand, count int, placer mill.Placer, avoid func(index int, worker string) bool) []int {
	if demand.OneRack {
		if chosen := oneRack(sites, demand, count, placer, avoid); chosen != nil {
			return chosen
		}
	}

	return greedy(sites, demand, count, placer, avoid)
}

func greedy(sites []Site, demand *Demand, count int, placer mill.Placer, avoid func(index int, worker string) bool) []int {
	chosen := make([]int, 0, count)

	for index := range count {
		at := Best(sites, demand, placer, func(worker string) bool { return avoid != nil && avoid(index, worker) })
		if at < 0 {
			break
		}

		sites[at].Take(demand.Each)
		chosen = append(chosen, at)
	}

	return chosen
}

// oneRack returns nil when no rack has room for all tasks.
func oneRack(sites []Site, demand *Demand, count int, placer mill.Placer, avoid func(index int, worker string) bool) []int {
	var racks []string

	for i := range sites {
		rack := sites[i].View.Rack
		if len(racks) == 0 || racks[len(racks)-1] != rack {
			racks = append(racks, rack)
		}
	}

	for _, rack := range racks {
		trial := append([]Site(nil), sites...)
		for i := range trial {
			if trial[i].View.Rack != rack {
				trial[i].View.Free = mill.Resources{MilliCores: -1}
			}
		}

		if chosen := greedy(trial, demand, count, placer, avoid); len(chosen) == count {
			for _, at := range chosen {
				sites[at].Take(demand.Each)
			}

			return chosen
		}
	}

	return nil
}
