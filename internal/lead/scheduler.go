package lead

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Scheduler makes the scheduling decisions of one term of leadership. It does no I/O and is not
// safe for concurrent use.
type Scheduler struct {
	bounds    Bounds
	fenceBase uint64
	termStart time.Time
	placer    mill.Placer
	workers   map[string]*worker
	// workersByIndex holds the workers, also those that were forgotten, by their index.
	workersByIndex []*worker
	// sortedWorkers holds the workers by id; nil after one was added or deleted.
	sortedWorkers []*worker
	// runs holds the runs that may be active on a worker, and those whose placement is not
	// committed yet.
	runs map[mill.TaskID]*run
	// runsByJob holds the number of these of each job that has any.
	runsByJob map[string]int
	// tenants holds what the runs of each tenant take, by the tenant's name, and setupIndex is that of the setup at the last
	// plan.
	tenants    map[string]*tenantUse
	setupIndex *mill.SetupIndex
	// shares sums up what the tenants used when the last plan began.
	shares plan.TenantShares
	// saturation is that of the last plan; nil before the first.
	saturation *saturation
	// ordersDue holds the runs that may need a start or stop order.
	ordersDue map[*run]struct{}
	// repeatedAt is when an order was last sent again because it was not answered.
	repeatedAt       time.Time
	advice           map[mill.StepID]*advice
	advisorAddresses map[string]*advisorAddress
	// waitingSinceFailure holds since when tasks that have failed wait for a worker on which they
	// have not failed.
	waitingSinceFailure map[mill.TaskID]time.Time
	estimates           plan.RunTimeEstimates
	failureRates        plan.FailureRates
	learned             learned
	// failedGangs holds the failed runs of gangs that are not recorded as evidence yet.
	failedGangs   []*gangRun
	allowedShares plan.AllowedShares
	finished      []finishedRun
	// orphans are runs that workers report and that the state does not know.
	orphans map[mill.RunRef]orphan
	// machines is the provider's list of machines, requested at machinesListedAt; listingMachines
	// says that a request for it is outstanding. A list that was requested before machinesChangedAt is out of date.
	machines          map[string]mill.Machine
	machinesListedAt  time.Time
	machinesChangedAt time.Time
	listingMachines   bool
	// plannedWaves holds the numbers of the incomplete waves that were there at the last plan.
	plannedWaves map[int]bool
	// promptWorkers holds the ids of the workers on the machines that come next in a wave. They report their ends at short
	// intervals, so that the wave need not wait for that.
	promptWorkers map[string]bool
	// inMaintenance lists the machines that are in maintenance by the provider's list.
	inMaintenance []string
	// maintenance holds the machines that are being drained or are down in a maintenance wave.
	// maintenanceCommands settle machines whose maintenance has begun or is not needed.
	maintenance         map[string]*maintenance
	maintenanceCommands []jobs.Command
	// forgottenWorkers lists unreachable workers whose records are to be removed from the state.
	forgottenWorkers []string
	events           []Event
	// describedBuffer and eligibleBuffer are reused by eligibleWorkers.
	describedBuffer []plan.CandidateWorker
	eligibleBuffer  []*worker
	// runningBuffer is reused by newReservation.
	runningBuffer []plan.RunningTask
	// waitingSteps counts the steps that had unplaced tasks after the last plan, and examinedWorkers how often it looked at
	// a worker for one of them: the part of a plan's cost that grows with the backlog and with the pools.
	waitingSteps    int
	examinedWorkers int
	// waits holds since when the steps that wait do so, and longestWait is the one that does so for the longest time.
	waits       map[mill.StepID]time.Time
	longestWait *candidate
	// plannedAt is when the last plan began.
	plannedAt time.Time
	// idleSince holds since when steps that wait belong to jobs of which nothing runs, and lastCandidates the steps of the
	// last plan.
	idleSince map[mill.StepID]time.Time
	// spareIdleSince and spareWaits are the maps of the plan before, which the next one reuses.
	spareIdleSince map[mill.StepID]time.Time
	spareWaits     map[mill.StepID]time.Time
	lastCandidates []*candidate
	memory         candidateMemory
	standstills    standstills
	racks          rackWaits
	// crashes holds the crashes of workers within the last minute, and crashPauses the pauses of suspected tasks.
	crashes     []crashRecord
	crashPauses map[mill.TaskID]crashPause
}

// advisorAddress is the address of a process that forwards requests to the advisor, one at a time.
type advisorAddress struct {
	busy      bool
	lastHeard time.Time
}

// orphan is a run on a worker that the state does not know. It is stopped.
type orphan struct {
	worker   *worker
	nextStop time.Time
}

// restartBits is the number of low bits of a fencing token that count the restarts of a worker
// under one id, so that a delayed order to an earlier incarnation is refused. The bits above hold
// the term.
const restartBits = 20

// New returns the scheduler for a term, which must be higher than every earlier one. It takes over
// the runs that are placed in the state.
func New(bounds Bounds, term uint64, now time.Time, state *jobs.State, placer mill.Placer) *Scheduler {
	s := &Scheduler{
		bounds:              bounds,
		fenceBase:           term << restartBits,
		termStart:           now,
		placer:              placer,
		workers:             make(map[string]*worker),
		runs:                make(map[mill.TaskID]*run),
		runsByJob:           make(map[string]int),
		tenants:             make(map[string]*tenantUse),
		setupIndex:          state.SetupIndex(),
		ordersDue:           make(map[*run]struct{}),
		advice:              make(map[mill.StepID]*advice),
		advisorAddresses:    make(map[string]*advisorAddress),
		orphans:             make(map[mill.RunRef]orphan),
		maintenance:         make(map[string]*maintenance),
		plannedWaves:        make(map[int]bool),
		promptWorkers:       make(map[string]bool),
		waitingSinceFailure: make(map[mill.TaskID]time.Time),
		crashPauses:         make(map[mill.TaskID]crashPause),
	}

	if len(state.Waves()) > 0 {
		// Earlier leaders may have sent maintenance orders until shortly after the start of this term.
		s.machinesChangedAt = now.Add(bounds.holderWait())
	}

	s.loadWorkerRecords(state)
	s.loadLearned(state.Learned())

	for _, job := range state.OpenJobs() {
		s.inheritJob(job)
	}

	for _, ending := range state.EndingRuns() {
		s.inheritEnding(&ending)
	}

	return s
}

// fencingToken returns the fencing token for orders to a worker.
func (s *Scheduler) fencingToken(w *worker) uint64 {
	return s.fenceBase + w.restarts
}

func (s *Scheduler) inheritJob(job *jobs.Job) {
	for number, occurrence := range job.Occurrences {
		for index := range occurrence.Steps {
			id := mill.StepID{Job: job.ID, Occurrence: number, Step: index}
			for at := range occurrence.Steps[index].Tasks {
				s.inheritTask(job, id.Task(at), &occurrence.Steps[index].Tasks[at])
			}
		}
	}
}

func (s *Scheduler) inheritTask(job *jobs.Job, id mill.TaskID, task *jobs.Task) {
	if task.Phase != jobs.TaskPlaced {
		return
	}

	step := &job.Work.Steps[id.Step]
	r := &run{
		task:       id,
		number:     task.Run,
		worker:     s.worker(task.Worker),
		queue:      job.Queue.Name,
		tenant:     job.Tenant,
		step:       step,
		reserves:   step.Reserves(),
		phase:      runInherited,
		checkpoint: task.Checkpoint,

		earlierSuspicion: task.Suspicion,
	}

	if step.Gang {
		s.joinGang(r, job, &job.Occurrences[id.Occurrence].Steps[id.Step])
	} else {
		r.attempt = jobs.NewTaskRun(job, id, task)
	}

	r.worker.mayHoldInherited = true
	s.addRun(r)
}

func (s *Scheduler) worker(id string) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = newWorker(id)
		w.index = len(s.workersByIndex)
		s.workers[id] = w
		s.workersByIndex = append(s.workersByIndex, w)

		for _, a := range s.advice {
			a.know(w)
		}
		s.sortedWorkers = nil
	}

	return w
}

// workersByID returns the workers sorted by id. The caller must not modify the slice.
func (s *Scheduler) workersByID() []*worker {
	if s.sortedWorkers == nil {
		s.sortedWorkers = slices.SortedFunc(maps.Values(s.workers), byID)
	}

	return s.sortedWorkers
}

// Report records a worker's status that was received at the given time. A status that is older than
// the last one is ignored. If it is that of another incarnation, the worker is asked which one runs: its wall clock may have
// been set back.
func (s *Scheduler) Report(status *mill.WorkerStatus, at time.Time) {
	w := s.worker(status.ID)

	if !w.lastHeard.IsZero() && !status.NewerThan(&w.status) {
		if status.StartUnixMilli != w.status.StartUnixMilli {
			w.incarnations.question()
		}

		return
	}

	s.noticeRestart(w, status, at)

	unchanged := w.status.SameStableFields(status)
	w.recordCurrent = w.recordCurrent && unchanged
	w.unrecordable = w.unrecordable && unchanged
	w.status = *status
	w.statusSentAt = w.sentAt(status, at)

	if at.After(w.lastHeard) {
		w.lastHeard = at // Another process may have received the status before the worker's last answer.
	}

	w.gone = false
	w.shutDown = false
	w.leaving = false

	if w.clock.outdated(status.ClockMilli, at) {
		w.clock.observe(status.ClockMilli, at)
	}

	if w.failedRenewals > 0 {
		w.nextRenewal = at // The worker can be reached again: retry the failed renewal now.
	}
}

// noticeRestart handles a status of another incarnation than the known one. What an earlier leader knew of that one is in
// the state, and this leader has nothing to conclude from its end.
func (s *Scheduler) noticeRestart(w *worker, status *mill.WorkerStatus, at time.Time) {
	if status.StartUnixMilli == w.status.StartUnixMilli {
		return
	}

	if w.lastHeard.IsZero() {
		w.unfenced = w.recorded != nil

		if w.recorded != nil {
			w.incarnations.learn()
		}

		return
	}

	s.workerRestarted(w, status.ClockMilli, at)
}

// workerRestarted records that a worker process has restarted under the same id: its runs are lost.
// An order may already have reached the new incarnation, with a lease end that was computed on the
// old incarnation's clock, so the lease is assumed to last for the longest time any lease can.
func (s *Scheduler) workerRestarted(w *worker, clockMilli int64, now time.Time) {
	s.recordCrash(w, now)

	w.incarnations.learn()
	w.leaving = false // It was the earlier incarnation that left, or whose machine went down.
	w.shutDown = false
	w.restarts++
	w.clock = clock{}
	w.leaseEndMilli = clockMilli + s.bounds.MaxLease.Milliseconds()
	w.committedThrough = 0
	w.acknowledgedThrough = 0
	w.listedThrough = 0
	w.contacted = false
	w.unfenced = true

	for _, r := range w.runs {
		switch r.phase {
		case runStarting:
			s.markDoubtful(r, now)
		case runStarted:
			r.updatedAt = now
		default:
		}
	}
}

// WorkerLeaving records that a worker has announced that it is shutting down. It may take some seconds to end, and the
// announcement may be late, and that of an earlier incarnation: the next renewals show what has become of its runs.
func (s *Scheduler) WorkerLeaving(id string, now time.Time) {
	w, ok := s.workers[id]
	if !ok || w.leaving {
		return
	}

	w.leaving = true
	w.nextRenewal = now
}

// AdvisorReachable records that the advisor can be reached through the process at an address.
func (s *Scheduler) AdvisorReachable(address string, now time.Time) {
	a, ok := s.advisorAddresses[address]
	if !ok {
		a = &advisorAddress{}
		s.advisorAddresses[address] = a
	}

	a.lastHeard = now
}

// Next plans once and returns the actions to carry out. The wall-clock time is in milliseconds
// since 1970.
func (s *Scheduler) Next(now time.Time, wallMilli int64, state *jobs.State) Actions {
	var actions Actions

	s.plannedAt = now
	s.examinedWorkers = 0
	s.updateTenants(state.SetupIndex())
	s.stopUnwanted(state)
	s.settle(&actions, now)

	candidates := s.candidates(wallMilli, state)
	s.recordIdle(candidates, now)
	p := s.newPass(now, wallMilli, state)
	actions.Commands = append(actions.Commands, s.place(candidates, p)...)
	s.applyLimits(candidates)
	actions.Commands = append(actions.Commands, s.updateWorkerRecords()...)
	actions.Commands = append(actions.Commands, s.recordLearned(now)...)
	actions.Commands = append(actions.Commands, s.maintenanceCommands...)
	s.maintenanceCommands = nil
	s.planMaintenance(&actions, now, state)
	actions.AdviceRequests = s.requestAdvice(candidates, p)
	s.saturation = s.findSaturation(candidates, p)
	s.waitingSteps = countWaiting(candidates)
	s.recordWaits(candidates, now)
	s.addOrders(&actions, now)

	return actions
}

// Dispatch returns the actions that need no plan: the orders that are due, and the commands for the runs that have finished.
func (s *Scheduler) Dispatch(now time.Time) Actions {
	var actions Actions

	s.settle(&actions, now)
	s.addOrders(&actions, now)

	return actions
}

// settle concludes what has happened since the last call, and adds the finished runs to the actions.
func (s *Scheduler) settle(actions *Actions, now time.Time) {
	s.expireRuns(now)
	s.withdrawStarts(now)

	actions.Commands = s.finishCommands(now)
	s.recordFailedGangs(now)
}

// expireRuns finishes the runs of workers that have certainly stopped, or whose leases have all
// expired.
func (s *Scheduler) expireRuns(now time.Time) {
	for _, w := range s.workersByID() {
		if len(w.runs) == 0 {
			s.forgetIfUnreachable(w.status.ID, w, now)

			continue
		}

		switch {
		case w.gone || s.leasesExpired(w, now):
			s.finishRuns(w, mill.FinishLeaseExpired)
		case w.shutDown:
			s.finishEndlessRuns(w)
		default:
		}
	}
}

// forgetIfUnreachable deletes a worker without runs that has not reported for forgetWorkerAfter.
func (s *Scheduler) forgetIfUnreachable(id string, w *worker, now time.Time) {
	last := w.lastHeard
	if last.IsZero() {
		last = s.termStart
	}

	if now.Sub(last) <= forgetWorkerAfter {
		return
	}

	delete(s.workers, id)
	s.sortedWorkers = nil

	if w.recorded != nil {
		s.forgottenWorkers = append(s.forgottenWorkers, id)
	}
}

// forgetWorkerAfter is how long an unreachable worker without runs is kept.
const forgetWorkerAfter = 30 * time.Second

// leasesExpired reports whether no run can still be active on a worker that does not answer.
func (s *Scheduler) leasesExpired(w *worker, now time.Time) bool {
	if !w.mayHoldInherited {
		return (w.failedRenewals > 0 || w.shutDown) && w.leasesExpired(now, s.bounds.MaxLeaseDelay)
	}

	if s.earlierLeaseLeft(now)+s.bounds.MaxLeaseDelay >= 0 {
		return false
	}

	return w.leaseEndMilli == 0 || w.leasesExpired(now, s.bounds.MaxLeaseDelay)
}

// earlierLeaseLeft returns how much longer the leases that an earlier leader granted may last; negative if they have
// expired. They are not known, so the longest one that leaders grant is counted from the start of this term.
func (s *Scheduler) earlierLeaseLeft(now time.Time) time.Duration {
	longest := time.Duration(float64(s.bounds.Lease())/(1-clockDrift)) + takeoverMargin

	return longest - now.Sub(s.termStart)
}

// finishEndlessRuns finishes the runs of a worker that has ended for maintenance that do not end by themselves. The others
// may have been done, with their ends on the way, so that their tasks must not start again before the lease has passed.
func (s *Scheduler) finishEndlessRuns(w *worker) {
	for _, r := range w.runs {
		if r.phase != runProposed && r.step.LongRunning {
			s.finishRun(r, mill.FinishLeaseExpired)
		}
	}
}

func (s *Scheduler) finishRuns(w *worker, cause mill.FinishCause) {
	w.mayHoldInherited = false

	for _, r := range w.runs {
		if r.phase != runProposed {
			s.finishRun(r, cause)
		}
	}
}
