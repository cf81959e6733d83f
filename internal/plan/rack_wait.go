package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// RackWait holds what decides whether a task, or a gang, waits for room on the rack that suits it or goes elsewhere now,
// where its run takes longer. It is meant for a rack that many steps want at a time, beside room on others. Only the
// step's own run counts: steps that come after it are part of the job's remaining time on both sides.
type RackWait struct {
	Urgency *Urgency
	// RunTime is the estimated run time on the right rack, and Factor how many times as long it is elsewhere.
	RunTime time.Duration
	Factor  float64
	// Crowding is how much of the core-seconds that the run takes longer is taken from other work; see Crowding.
	Crowding float64
	// Waited is for how long the step has waited beside room elsewhere without getting a place.
	Waited time.Duration
	// Idles says that nothing of the job runs, and Idle for how long.
	Idles bool
	Idle  time.Duration
}

// RackReason says why a task waits for a rack or goes elsewhere.
type RackReason string

// The reasons: those to wait, and then those to go elsewhere.
const (
	// RackSaves means that waiting costs less time than the longer run, and RackKeeps that waiting keeps the job's
	// objective.
	RackSaves RackReason = "savesTime"
	RackKeeps RackReason = "keepsObjective"
	// RackUnknown means that nothing says when there will be room.
	RackUnknown RackReason = "unknown"
	// RackTooLong means that waiting costs more time than the longer run, and RackMisses that it costs the objective.
	RackTooLong RackReason = "tooLong"
	RackMisses  RackReason = "missesObjective"
	// RackIdle means that nothing of the job would run for longer than MaxIdleWait.
	RackIdle RackReason = "idleJob"
	// RackExpired means that the step has waited for as long as waiting could save.
	RackExpired RackReason = "expired"
)

// RackDecision says whether a task waits for a rack.
type RackDecision struct {
	Wait   bool
	Reason RackReason
	// For is how much longer the task waits at the most.
	For time.Duration
}

// UnknownRoom stands for an unknown time until there is room.
const UnknownRoom time.Duration = -1

// Decide returns whether a task waits, given the expected time until there is room for it, or UnknownRoom.
//
// A decision that changes whether the job meets its objective, or has any value, goes by that. Others go by time: waiting
// costs the job the wait, and going elsewhere costs it the longer run, and other work the core-seconds that this takes.
// A wait ends when it has lasted for as long as it could have saved, so that a wrong expectation costs at most as much
// again.
func (w *RackWait) Decide(room time.Duration) RackDecision {
	longest := w.longest()
	if room < 0 || longest <= 0 {
		return RackDecision{Reason: RackUnknown}
	}

	if w.Idles && w.Idle+room > MaxIdleWait {
		return RackDecision{Reason: RackIdle}
	}

	if w.Waited >= longest {
		return RackDecision{Reason: RackExpired}
	}

	waiting, elsewhere := w.Urgency.classAfter(room), w.Urgency.classAfter(w.extraTime())

	switch {
	case waiting > elsewhere:
		return RackDecision{Reason: RackMisses}
	case waiting == elsewhere && room > longest:
		return RackDecision{Reason: RackTooLong}
	}

	decision := RackDecision{Wait: true, Reason: RackSaves, For: longest - w.Waited}
	if waiting < elsewhere {
		decision.Reason = RackKeeps
	}

	if w.Idles {
		decision.For = min(decision.For, MaxIdleWait-w.Idle)
	}

	return decision
}

// extraTime returns how much longer the run takes elsewhere.
func (w *RackWait) extraTime() time.Duration {
	return time.Duration((w.Factor - 1) * float64(w.RunTime))
}

// longest returns for how long waiting can pay off: what the longer run takes from the job, and from others of the same
// size.
func (w *RackWait) longest() time.Duration {
	return time.Duration((1 + w.Crowding) * float64(w.extraTime()))
}

// classAfter returns the step's class if its job takes longer than expected by some time.
func (u *Urgency) classAfter(delay time.Duration) int {
	delayed := *u
	delayed.Remaining += delay

	return delayed.class()
}

// uncrowdedShare is the free share of a pool's capacity from which on a longer run takes nothing from others: a burst that
// doubles the load still finds room.
const uncrowdedShare = 0.5

// Crowding returns which share of a core-second that is spent in a pool is taken from other work: none in a pool that is
// half free, and all of it in a full one.
func Crowding(free, capacity mill.Resources) float64 {
	return max(0, min(1, 1-minFreeShare(free, capacity)/uncrowdedShare))
}

// RackWorker is a worker on a rack that tasks wait for.
type RackWorker struct {
	Free    mill.Resources
	Running []RunningTask
	// MaxTasks is how many more tasks the worker may take; 0 for no limit.
	MaxTasks int
	// OpensIn is the least time until the worker takes a task.
	OpensIn time.Duration
}

// RackPlace is room for one task that there will be on a rack.
type RackPlace struct {
	// Worker is the index of the worker.
	Worker int
	In     time.Duration
}

// RackPlaces returns the places that the ends of the running tasks bring, the earliest first.
func RackPlaces(workers []RackWorker, perTask mill.Resources) []RackPlace {
	var places []RackPlace

	for at := range workers {
		places = workers[at].appendPlaces(places, at, perTask)
	}

	slices.SortStableFunc(places, func(a, b RackPlace) int { return cmp.Compare(a.In, b.In) })

	return places
}

func (w *RackWorker) appendPlaces(places []RackPlace, index int, perTask mill.Resources) []RackPlace {
	free, taken := w.Free, 0
	add := func(in time.Duration) {
		for fits := perTask.TimesIn(free); taken < fits && (w.MaxTasks == 0 || taken < w.MaxTasks); taken++ {
			places = append(places, RackPlace{Worker: index, In: max(in, w.OpensIn)})
		}
	}

	add(0)

	running := slices.Clone(w.Running)
	slices.SortStableFunc(running, func(a, b RunningTask) int { return cmp.Compare(a.Remaining, b.Remaining) })

	for i := range running {
		free = free.Add(running[i].Reserves)
		add(running[i].Remaining)
	}

	return places
}

// WaitInLine returns the expected time until the task with the given number in the line, from 0, gets a place: that which
// becomes free as the next one after those of the tasks before it. Beyond the known ends, the places come around again
// after a run time.
func WaitInLine(places []RackPlace, number int, runTime time.Duration) time.Duration {
	if len(places) == 0 {
		return UnknownRoom
	}

	rounds := number / len(places)

	return places[number%len(places)].In + time.Duration(rounds)*runTime
}

// TasksAhead returns how many tasks take as much as those that are ahead in the line for a rack.
func TasksAhead(claimed, perTask mill.Resources) int {
	tasks := int64(0)

	for _, dimension := range [][2]int64{
		{claimed.MilliCores, perTask.MilliCores},
		{claimed.MemoryMiB, perTask.MemoryMiB},
		{claimed.Accelerators, perTask.Accelerators},
	} {
		if whole, part := dimension[0], dimension[1]; part > 0 {
			tasks = max(tasks, (whole+part-1)/part)
		}
	}

	return int(tasks)
}
