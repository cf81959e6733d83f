package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// stopUnwanted stops the runs of jobs that were canceled or have failed.
func (s *Scheduler) stopUnwanted(state *jobs.State) {
	for _, job := range state.OpenJobs() {
		if job.Outcome != mill.JobCanceled && job.Outcome != mill.JobFailed {
			continue
		}

		for number, occurrence := range job.Occurrences {
			for index := range occurrence.Steps {
				s.stopStep(mill.StepID{Job: job.ID, Occurrence: number, Step: index}, &occurrence.Steps[index])
			}
		}
	}
}

func (s *Scheduler) stopStep(id mill.StepID, step *jobs.Step) {
	if step.Placed == 0 {
		return
	}

	for index := range step.Tasks {
		if r, ok := s.runs[id.Task(index)]; ok {
			s.stopRun(r)
		}
	}
}

// withdrawStarts withdraws the start orders that are due for workers that are shutting down, whose capacity is not known
// any more, or whose capacity has shrunk since the placement so that the runs exceed it, until the others fit.
func (s *Scheduler) withdrawStarts(now time.Time) {
	for _, w := range s.workersByID() {
		if s.takesRuns(w, now) {
			continue
		}

		for _, r := range w.runsByTask() {
			if r.phase == runStarting && !r.stopping && !r.startInFlight && !s.takesRuns(w, now) {
				s.withdrawStart(r, now)
			}
		}
	}
}

// takesRuns reports whether the runs that are placed on a worker may be started there.
func (s *Scheduler) takesRuns(w *worker, now time.Time) bool {
	return len(w.runs) == 0 || !w.leaving && !w.shutDown && s.fitsRuns(w, now)
}

// fitsRuns reports whether a worker is known to have the capacity for the runs that are or may be active on it.
func (s *Scheduler) fitsRuns(w *worker, now time.Time) bool {
	return len(w.runs) == 0 || s.capacityKnown(w, now) && w.used.Fits(w.status.Capacity)
}

// withdrawStart finishes a run that has not started, or stops it if it may have.
func (s *Scheduler) withdrawStart(r *run, now time.Time) {
	if r.startAttempts > r.unreachableStarts {
		s.markDoubtful(r, now)

		return
	}

	s.finishRun(r, mill.FinishNotStarted)
}

// stopRun has a run stopped.
func (s *Scheduler) stopRun(r *run) {
	r.stopping = true
	s.ordersDue[r] = struct{}{}
}

// stopGang stops the other members of a gang's run.
func (s *Scheduler) stopGang(r *run) {
	for index := range r.step.Count {
		member, ok := s.runs[r.task.Task(index)]
		if ok && member.number == r.number {
			s.stopRun(member)
		}
	}
}

// addOrders adds the orders to workers that are due.
func (s *Scheduler) addOrders(actions *Actions, now time.Time) {
	for r := range s.ordersDue {
		switch {
		case r.cause != "" || s.runs[r.task] != r:
			delete(s.ordersDue, r)
		case r.phase == runProposed:
		case r.stopping:
			s.addStop(actions, r, now)
		case r.phase == runStarting:
			s.addStart(actions, r, now)
		default:
			delete(s.ordersDue, r)
		}
	}

	for _, w := range s.workersByID() {
		s.addRenewal(actions, w, now)
		s.addPaces(actions, w, now)
	}

	s.addOrphanStops(actions, now)
}

func (s *Scheduler) addStart(actions *Actions, r *run, now time.Time) {
	if r.startInFlight || now.Before(r.nextStart) || !r.worker.clock.known() {
		return
	}

	r.startInFlight = true
	r.startAttempts++

	actions.Starts = append(actions.Starts, Start{
		To:    r.worker.ref(),
		epoch: r.worker.incarnations.epoch,
		Order: mill.StartOrder{
			Task:             r.task,
			Run:              r.number,
			Spec:             r.spec,
			LeaseExpiryMilli: r.worker.extendLease(now, s.bounds.Lease()),
			FencingToken:     s.fencingToken(r.worker),
			Checkpoint:       r.resumeFrom,
			Ticket:           r.ticket,
		},
	})
}

func (s *Scheduler) addStop(actions *Actions, r *run, now time.Time) {
	if r.stopAcknowledged || now.Before(r.nextStop) || r.worker.ended() || r.worker.status.Address == "" {
		return
	}

	r.nextStop = now.Add(s.bounds.orderTimeout())

	actions.Stops = append(actions.Stops, s.stopOrder(r.worker, r.ref()))
}

func (s *Scheduler) stopOrder(w *worker, run mill.RunRef) Stop {
	return Stop{To: w.ref(), Run: run, FencingToken: s.fencingToken(w), epoch: w.incarnations.epoch}
}

func (s *Scheduler) addOrphanStops(actions *Actions, now time.Time) {
	for ref, o := range s.orphans {
		if now.Before(o.nextStop) {
			continue
		}

		if o.worker.ended() || s.workers[o.worker.status.ID] != o.worker {
			delete(s.orphans, ref)

			continue
		}

		o.nextStop = now.Add(s.bounds.orderTimeout())
		s.orphans[ref] = o
		actions.Stops = append(actions.Stops, s.stopOrder(o.worker, ref))
	}
}

func (s *Scheduler) addRenewal(actions *Actions, w *worker, now time.Time) {
	if !w.canRenew(now) {
		return
	}

	holding, confirmed := w.holding()
	if !holding && !w.callDue(now) && !w.unverified() {
		return
	}

	w.renewing = true

	actions.Renews = append(actions.Renews, Renew{
		To: w.ref(), Order: s.renewOrder(w, holding, confirmed, now), epoch: w.incarnations.epoch,
	})
}

// renewOrder returns the renewal order for a worker, given the results of its holding method.
func (s *Scheduler) renewOrder(w *worker, holding, confirmed bool, now time.Time) mill.RenewOrder {
	order := mill.RenewOrder{FencingToken: s.fencingToken(w)}

	if w.mayAcknowledge(now) {
		order.Acknowledged = w.committedThrough
	}

	// A worker that does not answer, or is shutting down, gets no longer lease: its leases have to expire before
	// its tasks can run elsewhere.
	if holding && w.failedRenewals == 0 && !w.leaving && w.clock.known() {
		order.LeaseExpiryMilli = w.extendLease(now, s.bounds.Lease())
	}

	if holding && confirmed {
		order.Wait = s.reportWait(w, now)
	}

	return order
}

// reportWait returns how long a worker whose runs are all confirmed may wait for a change before it reports.
func (s *Scheduler) reportWait(w *worker, now time.Time) time.Duration {
	if !w.contacted || w.failedRenewals > 0 || w.incarnations.unclear() {
		return 0
	}

	wait := min(maxReportWait, s.bounds.Lease()/3)

	if now.Sub(s.repeatedAt) < lossMemory {
		wait = min(wait, lossyReportWait)
	}

	if s.promptWorkers[w.status.ID] || s.maintenanceOf(w) != nil {
		wait = min(wait, drainReportWait)
	}

	if w.isolatingRuns > 0 {
		wait = min(wait, crashTime)
	}

	if w.mixesBestEffort() {
		wait = min(wait, sharedReportWait)
	}

	return wait
}

// mayAcknowledge reports whether the incarnation that gets an order now is certainly the one whose list was read last.
// After a longer pause the worker may have restarted under the same id, and its new incarnation numbers its finished runs
// from the start again.
func (w *worker) mayAcknowledge(now time.Time) bool {
	return !w.incarnations.unclear() && now.Sub(w.lastRenewal) < minRestartTime
}

// canRenew reports whether the worker can be sent a renewal, which also asks for a report. It is
// withheld until the finished runs that were reported are committed, so that it acknowledges them.
func (w *worker) canRenew(now time.Time) bool {
	if w.renewing || w.ended() || w.uncommittedFinishes > 0 {
		return false
	}

	return w.status.Address != "" && !now.Before(w.nextRenewal)
}

// holding reports whether runs may be active on the worker, and whether it has confirmed the state of
// all of them.
func (w *worker) holding() (holding, confirmed bool) {
	confirmed = true

	for _, r := range w.runs {
		switch r.phase {
		case runProposed:
		case runStarting:
			holding = true
		case runStarted:
			holding = true
			confirmed = confirmed && !r.updatedAt.After(w.lastHeard)
		default:
			holding = true
			confirmed = false
		}
	}

	return holding, confirmed
}

const (
	// lossMemory is how long after an order had to be repeated workers are asked not to delay their reports for long.
	lossMemory = 2 * time.Second
	// lossyReportWait is how long a worker may then delay its report. Runs that end while a report is lost are noticed only
	// when it should have come, and the jobs that they belong to have objectives of a second or less.
	lossyReportWait = 300 * time.Millisecond
)

// OrderRepeated records that an order was not answered in time and is sent again.
func (s *Scheduler) OrderRepeated(now time.Time) {
	s.repeatedAt = now
}

// minRestartTime is the least time in which a worker process can stop and start again. A worker
// that answered more recently is still the same incarnation.
const minRestartTime = 500 * time.Millisecond

// acknowledgeDelay is how long the acknowledgment of an idle worker's finished runs is delayed. A
// renewal that is sent for new work within that time saves the extra call.
const acknowledgeDelay = 300 * time.Millisecond

// callDue reports whether the worker has to be called though it has no runs: to acknowledge finished
// runs, to give a restarted worker a fencing token, to find out which of its incarnations runs or whether runs that the
// state does not know have ended, or, within a second after it was last heard, to retry a failed renewal.
func (w *worker) callDue(now time.Time) bool {
	if w.failedRenewals > 0 {
		return now.Sub(w.lastHeard) < time.Second
	}

	if w.unfenced || w.hasUnknownRuns || w.incarnations.unclear() {
		return true
	}

	return w.acknowledgedThrough < w.committedThrough && now.Sub(w.nextRenewal) > acknowledgeDelay
}
