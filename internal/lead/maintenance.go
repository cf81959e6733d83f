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
	// listInterval is the least time between two requests for the provider's machines while a wave
	// is incomplete: each request is paid for.
	listInterval = 200 * time.Millisecond
	// maintenanceRetryDelay is the pause before a maintenance order is sent again.
	maintenanceRetryDelay = 500 * time.Millisecond
	// drainReportWait is how long a worker may delay its report while its machine is drained or comes next: the order for the
	// machine waits for the report.
	drainReportWait = 200 * time.Millisecond
	// endReportTime is how long after a run was stopped its end is read and committed: drainReportWait and some round trips
	// between regions.
	endReportTime = 400 * time.Millisecond
)

// maintenance is one machine of a wave that is being drained or is down.
type maintenance struct {
	wave int
	// worker is the id of the worker that the maintenance shuts down.
	worker string
	// drainingSince is since when the machine gets no new work.
	drainingSince time.Time
	// ordered says that an order was sent, so that the machine may be down, and orderedAt when the last one was.
	ordered   bool
	orderedAt time.Time
	// dueSince is since when the runs on the machine are stopped, and nothing but their ends holds the order back.
	dueSince  time.Time
	inFlight  bool
	nextOrder time.Time
	// startedAt is when the provider confirmed that the maintenance has begun or is done.
	startedAt time.Time
}

// MachinesListed records the provider's machines, which were requested at the given time; nil means
// that the request failed.
func (s *Scheduler) MachinesListed(machines []mill.Machine, requestedAt time.Time) {
	s.listingMachines = false

	if machines == nil {
		return
	}

	s.machines = make(map[string]mill.Machine, len(machines))
	s.inMaintenance = nil
	s.machinesListedAt = requestedAt

	for _, machine := range machines {
		s.machines[machine.ID] = machine

		if machine.State == mill.MachineInMaintenance {
			s.inMaintenance = append(s.inMaintenance, machine.ID)
		}
	}

	for id, m := range s.maintenance {
		if machine, ok := s.machines[id]; ok {
			s.updateMaintenance(m, &machine, requestedAt)
		}
	}
}

// updateMaintenance compares a machine's maintenance with the provider's list.
func (s *Scheduler) updateMaintenance(m *maintenance, machine *mill.Machine, requestedAt time.Time) {
	if !m.ordered {
		m.worker = machine.Worker // The worker may have crashed, and another one may have started on the machine.

		return
	}

	if m.startedAt.IsZero() || !requestedAt.After(m.startedAt) {
		return
	}

	if machine.State == mill.MachineUp && machine.Worker == m.worker {
		return
	}

	if w, known := s.workers[m.worker]; known {
		w.shutDown = true
	}
}

// planMaintenance adds the actions that the incomplete maintenance waves need now: commands that
// settle machines, maintenance orders, and a request for the provider's machines. A new leader sends
// no orders until holderWait has passed, so that its orders and those of the earlier leader are not
// taken for two processes that send orders in turn, unless there was no wave for which an earlier leader can have sent
// any. Nothing is concluded from a list that is out of date: it may lack machines of a new wave, or show machines as up
// that are down.
func (s *Scheduler) planMaintenance(actions *Actions, now time.Time, state *jobs.State) {
	waves := state.IncompleteWaves()
	s.noticeWaves(waves, now)
	clear(s.promptWorkers)

	s.forgetMaintenance(now)

	if len(waves) == 0 && !s.listNeeded(now) {
		return
	}

	if !s.listingMachines && now.Sub(s.machinesListedAt) >= listInterval {
		s.listingMachines = true
		actions.ListMachines = true
	}

	if !s.machinesListedAt.After(s.machinesChangedAt) {
		return
	}

	for _, wave := range waves {
		s.advanceWave(actions, wave, now, state)
	}

	budgets := s.waveBudgets(state)

	for _, wave := range waves {
		s.drainNext(wave, budgets, now)
	}
}

// forgetMaintenance deletes the maintenance of machines that are back in service. When their wave is complete, it also
// deletes that of machines that were never ordered down, or for which the leases of their workers have passed.
func (s *Scheduler) forgetMaintenance(now time.Time) {
	for id, m := range s.maintenance {
		over := !m.inFlight && now.Sub(m.orderedAt) > s.bounds.Lease()
		if s.backInService(id, m) || over && !s.plannedWaves[m.wave] {
			delete(s.maintenance, id)
		}
	}
}

// listNeeded reports whether machines that went down in a complete wave have to be listed: to learn that their workers have
// ended, or that they are back in service.
func (s *Scheduler) listNeeded(now time.Time) bool {
	for _, m := range s.maintenance {
		w, known := s.workers[m.worker]
		if !m.startedAt.IsZero() && (known && !w.ended() || now.After(m.startedAt.Add(s.bounds.MaintenanceTime))) {
			return true
		}
	}

	return false
}

// noticeWaves marks the list of machines as out of date when there is a wave that was not there at the last plan.
func (s *Scheduler) noticeWaves(waves []*jobs.Wave, now time.Time) {
	planned := make(map[int]bool, len(waves))

	for _, wave := range waves {
		planned[wave.Spec.Number] = true

		if !s.plannedWaves[wave.Spec.Number] {
			s.machinesChanged(now)
		}
	}

	s.plannedWaves = planned
}

// machinesChanged marks the lists of machines that were requested until now as out of date.
func (s *Scheduler) machinesChanged(now time.Time) {
	if now.After(s.machinesChangedAt) {
		s.machinesChangedAt = now
	}
}

// advanceWave adds the orders that are due for one wave, and settles machines that no longer exist.
func (s *Scheduler) advanceWave(actions *Actions, wave *jobs.Wave, now time.Time, state *jobs.State) {
	for _, id := range wave.Spec.Machines {
		if _, exists := s.machines[id]; !exists && !wave.Settled[id] {
			actions.Commands = append(actions.Commands, settleCommand(wave.Spec.Number, id))
		}

		if m, draining := s.maintenance[id]; draining && m.wave == wave.Spec.Number {
			s.orderMaintenance(actions, wave, id, m, now, state)
		}
	}
}

// waveBudget is how many more machines of a wave may be down.
type waveBudget struct {
	wave      *jobs.Wave
	remaining int
}

// waveBudgets returns the budgets of all waves, including complete ones. A machine that is down counts
// in each wave that contains it, whichever wave ordered its maintenance.
func (s *Scheduler) waveBudgets(state *jobs.State) []*waveBudget {
	list := make([]*waveBudget, 0, len(state.Waves()))
	down := s.machinesDown()

	for _, wave := range state.Waves() {
		budget := &waveBudget{wave: wave, remaining: wave.Spec.MaxAtOnce}

		for _, id := range down {
			if wave.Has(id) {
				budget.remaining--
			}
		}

		list = append(list, budget)
	}

	return list
}

// machinesDown returns the machines that are, may be or will be down for maintenance.
func (s *Scheduler) machinesDown() []string {
	down := slices.Collect(maps.Keys(s.maintenance))

	for _, id := range s.inMaintenance {
		if _, draining := s.maintenance[id]; !draining {
			down = append(down, id)
		}
	}

	return down
}

// drainNext starts draining a wave's next machines, as far as the budget of every wave that
// contains them allows it.
func (s *Scheduler) drainNext(wave *jobs.Wave, budgets []*waveBudget, now time.Time) {
	next := 0

	for _, id := range s.machinesToDrain(wave) {
		affected := slices.DeleteFunc(slices.Clone(budgets), func(b *waveBudget) bool { return !b.wave.Has(id) })
		if slices.ContainsFunc(affected, func(b *waveBudget) bool { return b.remaining <= 0 }) {
			if next < wave.Spec.MaxAtOnce {
				s.promptWorkers[s.machines[id].Worker] = true
				next++
			}

			continue
		}

		for _, b := range affected {
			b.remaining--
		}

		s.maintenance[id] = &maintenance{wave: wave.Spec.Number, worker: s.machines[id].Worker, drainingSince: now}
	}
}

// settleCommand returns the command that settles a machine of a wave.
func settleCommand(wave int, machine string) jobs.Command {
	return jobs.Command{SettleMachine: &jobs.SettleMachine{Wave: wave, Machine: machine}}
}

// backInService reports whether a machine is up again with a new worker after its maintenance.
func (s *Scheduler) backInService(id string, m *maintenance) bool {
	machine := s.machines[id]

	return !m.startedAt.IsZero() && s.machinesListedAt.After(m.startedAt.Add(s.bounds.MaintenanceTime)) &&
		machine.State == mill.MachineUp
}

// machinesToDrain returns the machines of a wave that can be drained next, those with the least
// work first.
func (s *Scheduler) machinesToDrain(wave *jobs.Wave) []string {
	var next []string

	for _, id := range wave.Spec.Machines {
		machine, exists := s.machines[id]
		if _, draining := s.maintenance[id]; draining || wave.Settled[id] || !exists || machine.State != mill.MachineUp {
			continue
		}

		next = append(next, id)
	}

	slices.SortStableFunc(next, func(a, b string) int { return cmp.Compare(s.usedMilliCores(a), s.usedMilliCores(b)) })

	return next
}

// usedMilliCores returns the processor capacity that a machine's tasks use.
func (s *Scheduler) usedMilliCores(machine string) int64 {
	w, ok := s.workers[s.machines[machine].Worker]
	if !ok {
		return 0
	}

	return w.used.MilliCores
}

// orderMaintenance adds the order for a machine's maintenance once its tasks have had time to finish.
func (s *Scheduler) orderMaintenance(
	actions *Actions, wave *jobs.Wave, id string, m *maintenance, now time.Time, state *jobs.State,
) {
	if m.inFlight || !m.startedAt.IsZero() || now.Before(m.nextOrder) {
		return
	}

	if !m.ordered && !s.drained(wave, m, now, state) {
		return
	}

	m.ordered = true
	m.orderedAt = now
	m.inFlight = true

	actions.Maintenance = append(actions.Maintenance, Maintenance{
		Wave: wave.Spec.Number, Machine: id, FencingToken: s.fenceBase >> restartBits,
	})
}

// drained reports whether a machine's tasks have had time to finish, may be interrupted, and have no ends that are not read.
func (s *Scheduler) drained(wave *jobs.Wave, m *maintenance, now time.Time, state *jobs.State) bool {
	// Since it is drained, no work goes to the worker that the list names, but some may have gone to the one before.
	if !s.machinesListedAt.After(m.drainingSince) {
		return false
	}

	w, known := s.workers[m.worker]
	if !known {
		return true
	}

	drain := plan.DrainTime(wave.Spec.Duration, len(wave.Spec.Machines), wave.Spec.MaxAtOnce, s.bounds.MaintenanceTime)
	if m.dueSince.IsZero() {
		if len(w.runs) > 0 && (now.Sub(m.drainingSince) < drain || !s.mayInterrupt(w, state)) {
			return false
		}

		m.dueSince = now
		s.stopForMaintenance(w)
	}

	// Other tasks of the steps that last may have become unavailable meanwhile.
	return s.endsRead(m, w, now) && s.mayInterrupt(w, state)
}

// stopForMaintenance stops the runs on a worker whose machine goes down, except those that last. The order would end them
// without a report, so that a task that has just been done would run again; a stopped run also keeps what it has done.
func (s *Scheduler) stopForMaintenance(w *worker) {
	for _, r := range w.runs {
		if !r.step.LongRunning && r.phase != runProposed && !r.stopping {
			s.stopRun(r)
		}
	}
}

// endsRead reports whether the ends on a worker are committed and nothing runs there but tasks that last. It does not wait
// for long: a worker that does not answer must not stop a wave.
func (s *Scheduler) endsRead(m *maintenance, w *worker, now time.Time) bool {
	if now.Sub(m.dueSince) >= s.bounds.MaxStopTime+endReportTime ||
		w.failedRenewals > 0 && now.Sub(w.lastHeard) >= reportTimeout {
		return true
	}

	for _, r := range w.runs {
		if !r.step.LongRunning {
			return false
		}
	}

	return w.uncommittedFinishes == 0
}

// mayInterrupt reports whether every run on a worker may be interrupted by maintenance.
func (s *Scheduler) mayInterrupt(w *worker, state *jobs.State) bool {
	interrupted := make(map[mill.StepID]int)

	for id := range w.runs {
		interrupted[id.StepID]++
	}

	for id, count := range interrupted {
		job, ok := state.Job(id.Job)
		if !ok || job.Finished() {
			continue
		}

		step := &job.Work.Steps[id.Step]
		if !plan.MayInterrupt(count, s.unavailableTasks(id, step), step.MaxUnavailable) {
			return false
		}
	}

	return true
}

// unavailableTasks counts the tasks of a step that are not running and ready, as far as their workers answer.
func (s *Scheduler) unavailableTasks(id mill.StepID, step *mill.Step) int {
	unavailable := 0

	for index := range step.Count {
		r, ok := s.runs[id.Task(index)]
		if !ok || r.phase != runStarted || r.stopping || r.percent < fullPercent || r.worker.failedRenewals > 0 ||
			s.mayBeDown(r.worker) {
			unavailable++
		}
	}

	return unavailable
}

// mayBeDown reports whether a worker's machine may be down because its maintenance was ordered.
func (s *Scheduler) mayBeDown(w *worker) bool {
	m := s.maintenanceOf(w)

	return m != nil && m.ordered
}

// maintenanceOf returns the maintenance of the worker's machine, nil for none.
func (s *Scheduler) maintenanceOf(w *worker) *maintenance {
	for _, m := range s.maintenance {
		if m.worker == w.status.ID {
			return m
		}
	}

	return nil
}

// MaintenanceAnswered records the provider's reply to a maintenance order.
func (s *Scheduler) MaintenanceAnswered(order *Maintenance, outcome mill.MaintenanceOutcome, now time.Time) {
	m, ok := s.maintenance[order.Machine]
	if !ok || m.wave != order.Wave {
		return
	}

	m.inFlight = false
	m.nextOrder = now.Add(maintenanceRetryDelay)

	switch outcome {
	case mill.MaintenanceBegun:
		m.startedAt = now
		s.maintenanceCommands = append(s.maintenanceCommands, settleCommand(order.Wave, order.Machine))
	case mill.MaintenanceNotFound:
		delete(s.maintenance, order.Machine)
		s.maintenanceCommands = append(s.maintenanceCommands, settleCommand(order.Wave, order.Machine))
	case mill.MaintenanceBusy:
		// Another order came first, or the machine is being removed: the next list of machines will
		// show which.
		delete(s.maintenance, order.Machine)
		s.machinesChanged(now)
	default:
	}
}
