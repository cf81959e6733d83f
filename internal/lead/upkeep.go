package lead

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// listPause is the pause between two looks at the provider's machines while a wave is
	// open; each look is paid for.
	listPause = 200 * time.Millisecond
	// upkeepRetry is the pause before an order for upkeep is given again.
	upkeepRetry = 500 * time.Millisecond
)

// upkeep is one machine of a wave whose turn has come.
type upkeep struct {
	wave int
	// worker is the life that the upkeep ends.
	worker string
	// drained is since when the machine gets no new work.
	drained time.Time
	// ordered says that an order was given, so that the machine may be down.
	ordered  bool
	inFlight bool
	next     time.Time
	// begun is when the provider said that the upkeep has begun or is done.
	begun time.Time
}

// MachinesListed takes note of the provider's machines, which were asked for at a time;
// nil says that there was no answer.
func (s *Scheduler) MachinesListed(machines []mill.Machine, asked time.Time) {
	s.listing = false

	if machines == nil {
		return
	}

	s.machines = make(map[string]mill.Machine, len(machines))
	s.inUpkeep = nil
	s.listed = asked

	for _, machine := range machines {
		s.machines[machine.ID] = machine

		if machine.State == mill.MachineInMaintenance {
			s.inUpkeep = append(s.inUpkeep, machine.ID)
		}
	}

	for id, u := range s.upkeeps {
		machine, ok := s.machines[id]
		if !ok || u.begun.IsZero() || !asked.After(u.begun) {
			continue
		}

		if machine.State == mill.MachineUp && machine.Worker == u.worker {
			continue
		}

		// The life that ran there has ended with all its runs.
		if w, known := s.workers[u.worker]; known {
			w.gone = true
		}
	}
}

// upkeep returns what waves of upkeep need now: records of machines that are settled, orders,
// and a look at the machines. A new leader waits until orders of an earlier one are too
// old to be taken for turns between two of them.
func (s *Scheduler) upkeep(actions *Actions, now time.Time, state *jobs.State) {
	waves := state.IncompleteWaves()
	if len(waves) == 0 {
		clear(s.upkeeps)

		return
	}

	if !s.listing && now.Sub(s.listed) >= listPause {
		s.listing = true
		actions.ListMachines = true
	}

	if s.listed.IsZero() || now.Sub(s.began) < s.bounds.HolderTime {
		return
	}

	for id, u := range s.upkeeps {
		if s.back(id, u) {
			delete(s.upkeeps, id)
		}
	}

	for _, wave := range waves {
		s.advance(actions, wave, now, state)
	}

	left := s.places(state)

	for _, wave := range waves {
		s.takeTurns(wave, left, now)
	}
}

// advance gives the orders that are due for one wave, and settles machines that are gone.
func (s *Scheduler) advance(actions *Actions, wave *jobs.Wave, now time.Time, state *jobs.State) {
	for _, id := range wave.Spec.Machines {
		if _, exists := s.machines[id]; !exists && !wave.Settled[id] {
			actions.Commands = append(actions.Commands, settled(wave.Spec.Number, id))
		}

		if u, turn := s.upkeeps[id]; turn && u.wave == wave.Spec.Number {
			s.order(actions, wave, id, u, now, state)
		}
	}
}

// places is how many more machines of a wave may be down.
type places struct {
	wave *jobs.Wave
	left int
}

// places returns what all waves, also complete ones, leave for further machines. A machine
// counts in each wave that it is part of, whoever has ordered its upkeep.
func (s *Scheduler) places(state *jobs.State) []*places {
	list := make([]*places, 0, len(state.Waves()))
	down := s.down()

	for _, wave := range state.Waves() {
		p := &places{wave: wave, left: wave.Spec.MaxAtOnce}

		for _, id := range down {
			if wave.Has(id) {
				p.left--
			}
		}

		list = append(list, p)
	}

	return list
}

// down returns the machines that are down for their upkeep, or may be.
func (s *Scheduler) down() []string {
	down := slices.Collect(maps.Keys(s.upkeeps))

	for _, id := range s.inUpkeep {
		if _, turn := s.upkeeps[id]; !turn {
			down = append(down, id)
		}
	}

	return down
}

// takeTurns begins the turns of a wave's next machines, as far as every wave that they are
// part of allows it.
func (s *Scheduler) takeTurns(wave *jobs.Wave, left []*places, now time.Time) {
	for _, id := range s.nextTurns(wave) {
		parts := slices.DeleteFunc(slices.Clone(left), func(p *places) bool { return !p.wave.Has(id) })
		if slices.ContainsFunc(parts, func(p *places) bool { return p.left <= 0 }) {
			continue
		}

		for _, p := range parts {
			p.left--
		}

		s.upkeeps[id] = &upkeep{wave: wave.Spec.Number, worker: s.machines[id].Worker, drained: now}
	}
}

func settled(wave int, machine string) jobs.Command {
	return jobs.Command{SettleMachine: &jobs.SettleMachine{Wave: wave, Machine: machine}}
}

// back reports whether a machine is up again with another life after its upkeep.
func (s *Scheduler) back(id string, u *upkeep) bool {
	machine := s.machines[id]

	return !u.begun.IsZero() && s.listed.After(u.begun.Add(s.bounds.UpkeepTime)) && machine.State == mill.MachineUp
}

// nextTurns returns the machines of a wave whose turn can come, those with the least work first.
func (s *Scheduler) nextTurns(wave *jobs.Wave) []string {
	var next []string

	for _, id := range wave.Spec.Machines {
		machine, exists := s.machines[id]
		if _, turn := s.upkeeps[id]; turn || wave.Settled[id] || !exists || machine.State != mill.MachineUp {
			continue
		}

		next = append(next, id)
	}

	slices.SortStableFunc(next, func(a, b string) int { return cmp.Compare(s.work(a), s.work(b)) })

	return next
}

// work returns the cores that a machine's tasks use.
func (s *Scheduler) work(machine string) int64 {
	w, ok := s.workers[s.machines[machine].Worker]
	if !ok {
		return 0
	}

	return w.used.MilliCores
}

// order has a machine's upkeep begin once its tasks have had time to end.
func (s *Scheduler) order(actions *Actions, wave *jobs.Wave, id string, u *upkeep, now time.Time, state *jobs.State) {
	if u.inFlight || !u.begun.IsZero() || now.Before(u.next) {
		return
	}

	w, known := s.workers[u.worker]
	busy := known && len(w.runs) > 0
	drain := plan.DrainTime(wave.Spec.Duration, len(wave.Spec.Machines), wave.Spec.MaxAtOnce, s.bounds.UpkeepTime)

	if busy && !u.ordered && (now.Sub(u.drained) < drain || !s.mayEnd(w, state)) {
		return
	}

	u.ordered = true
	u.inFlight = true

	actions.Upkeeps = append(actions.Upkeeps, Upkeep{Wave: wave.Spec.Number, Machine: id, Fence: s.fence >> livesBits})
}

// mayEnd reports whether all that runs on a worker may be ended by planned work.
func (s *Scheduler) mayEnd(w *worker, state *jobs.State) bool {
	ends := make(map[mill.StepID]int)

	for id := range w.runs {
		ends[id.StepID]++
	}

	for id, count := range ends {
		job, ok := state.Job(id.Job)
		if !ok || job.Finished() {
			continue
		}

		step := &job.Work.Steps[id.Step]
		if !plan.MayInterrupt(count, s.away(id, step), step.MaxUnavailable) {
			return false
		}
	}

	return true
}

// away counts the tasks of a step that are not at work.
func (s *Scheduler) away(id mill.StepID, step *mill.Step) int {
	away := 0

	for index := range step.Count {
		r, ok := s.runs[id.Task(index)]
		if !ok || r.phase != runAlive || r.stopping || r.percent < fullPercent || s.mayHaveEnded(r.worker) {
			away++
		}
	}

	return away
}

// mayHaveEnded reports whether a worker may have ended by an order for upkeep.
func (s *Scheduler) mayHaveEnded(w *worker) bool {
	u := s.upkeepOf(w)

	return u != nil && u.ordered
}

// upkeepOf returns the turn of the worker's machine, nil for none.
func (s *Scheduler) upkeepOf(w *worker) *upkeep {
	for _, u := range s.upkeeps {
		if u.worker == w.status.ID {
			return u
		}
	}

	return nil
}

// UpkeepAnswered takes note of the provider's answer to an order for upkeep.
func (s *Scheduler) UpkeepAnswered(order *Upkeep, outcome mill.MaintenanceOutcome, now time.Time) {
	u, ok := s.upkeeps[order.Machine]
	if !ok || u.wave != order.Wave {
		return
	}

	u.inFlight = false
	u.next = now.Add(upkeepRetry)

	switch outcome {
	case mill.MaintenanceBegun:
		u.begun = now
		s.settling = append(s.settling, settled(order.Wave, order.Machine))
	case mill.MaintenanceNotFound:
		delete(s.upkeeps, order.Machine)
		s.settling = append(s.settling, settled(order.Wave, order.Machine))
	case mill.MaintenanceBusy:
		// Another order came first, or the machine leaves: the next look tells.
		delete(s.upkeeps, order.Machine)
	default:
	}
}
