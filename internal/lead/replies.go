package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// maxReportedFinished is the most finished runs that a worker lists in one report.
const maxReportedFinished = 500

// StartAnswered records a worker's reply to a start order.
func (s *Scheduler) StartAnswered(start *Start, reply mill.OrderReply, now time.Time) {
	r, ok := s.runs[start.Order.Task]
	if !ok || r.number != start.Order.Run || r.worker.status.ID != start.To.ID {
		return
	}

	r.startInFlight = false

	if r.worker.incarnations.mayBeEarlier(start.epoch) {
		s.earlierStartAnswered(r, reply.Outcome, now)

		return
	}

	r.worker.clock.observe(reply.ClockMilli, now)
	s.addEvent(EventStart, r, reply.Outcome.String())

	switch reply.Outcome {
	case mill.OutcomeAccepted:
		s.markStarted(r, now)
	case mill.OutcomeWorkerReplaced:
		s.workerReplaced(r.worker, now)
	case mill.OutcomeFinished:
		// The worker refuses to start the run again; its next report shows whether the run finished.
		s.markDoubtful(r, now)
		r.stopAcknowledged = true
	case mill.OutcomeUnanswered, mill.OutcomeFenced:
		s.retryStart(r, now)
	case mill.OutcomeUnreachable, mill.OutcomeNotListening:
		s.retryUnreachable(r, now)
	case mill.OutcomeNotSent:
		r.startAttempts-- // It was no attempt, and says nothing about the worker.
		r.nextStart = now.Add(retryDelay)
	default:
		s.startRefused(r, reply.Outcome, now)
	}
}

func (s *Scheduler) markStarted(r *run, now time.Time) {
	if r.phase == runStarting || r.phase == runInherited {
		r.phase = runStarted
	}

	r.updatedAt = now
	r.progressAt = now

	if r.startedAt.IsZero() {
		r.startedAt = now
	}
}

// retryStart schedules the same start order again, which is idempotent, or stops the run after the
// last attempt.
func (s *Scheduler) retryStart(r *run, now time.Time) {
	r.nextStart = now.Add(retryDelay)

	if r.startAttempts >= maxStartAttempts {
		s.markDoubtful(r, now)
	}
}

// retryUnreachable schedules a start order again for which the worker could not be connected to. If none of the run's
// start orders was ever sent, the run has certainly not started, and after the last attempt its task can be placed
// elsewhere at once.
func (s *Scheduler) retryUnreachable(r *run, now time.Time) {
	r.unreachableStarts++

	if r.startAttempts < maxStartAttempts || r.unreachableStarts < r.startAttempts {
		s.retryStart(r, now)

		return
	}

	r.worker.health.Quarantine(now)
	s.finishRun(r, mill.FinishNotStarted)
}

// startRefused finishes a run that has not started. If an earlier start order for it was not answered,
// that order may still be carried out, so the run has to be stopped first.
func (s *Scheduler) startRefused(r *run, outcome mill.OrderOutcome, now time.Time) {
	s.applyRefusal(r, outcome, now)

	if r.startAttempts-r.unreachableStarts > 1 {
		s.markDoubtful(r, now)

		return
	}

	s.finishRun(r, mill.FinishNotStarted)
}

// applyRefusal corrects the scheduler's view of what the refused order relied on: the worker's
// clock, its ticket or its health.
func (s *Scheduler) applyRefusal(r *run, outcome mill.OrderOutcome, now time.Time) {
	switch outcome {
	case mill.OutcomeExpired:
		r.worker.clock = clock{}
	case mill.OutcomeNoTicket:
		if a, ok := s.advice[r.task.StepID]; ok {
			a.expire(r.worker.status.ID)
		}
	case mill.OutcomeUnhealthy:
		r.worker.health.DelayTry(now)
		r.worker.health.RecordFailure(r.task.Job, 1, now)
	default:
		r.worker.health.Quarantine(now)
	}
}

// markDoubtful stops a run that may or may not have started, or may still start.
func (s *Scheduler) markDoubtful(r *run, now time.Time) {
	r.phase = runDoubtful
	s.stopRun(r)
	r.updatedAt = now
}

// StopAnswered records a worker's reply to a stop order.
func (s *Scheduler) StopAnswered(stop *Stop, reply mill.OrderReply, now time.Time) {
	switch reply.Outcome {
	case mill.OutcomeUnanswered, mill.OutcomeUnreachable, mill.OutcomeNotListening:
		return
	default:
	}

	if s.orphanStopAnswered(stop, reply.Outcome, now) {
		return
	}

	r, ok := s.runs[stop.Run.Task]
	if !ok || r.number != stop.Run.Run || r.worker.status.ID != stop.To.ID {
		return
	}

	s.addEvent(EventStop, r, reply.Outcome.String())

	switch {
	case r.worker.incarnations.mayBeEarlier(stop.epoch):
		r.nextStop = now
	case reply.Outcome == mill.OutcomeWorkerReplaced:
		s.workerReplaced(r.worker, now)
	case reply.Outcome.Stopped():
		s.stopAccepted(r, reply.ClockMilli, now)
	case reply.Outcome.Transient():
		r.nextStop = now.Add(retryDelay)
	default:
	}
}

func (s *Scheduler) stopAccepted(r *run, clockMilli int64, now time.Time) {
	r.worker.clock.observe(clockMilli, now)
	r.stopAcknowledged = true

	if r.phase == runStarting {
		r.phase = runDoubtful
	}

	r.updatedAt = now
	r.worker.nextRenewal = now
}

// orphanStopAnswered records the reply to a stop order for an orphan, and reports whether it was for one.
func (s *Scheduler) orphanStopAnswered(stop *Stop, outcome mill.OrderOutcome, now time.Time) bool {
	o, ok := s.orphans[stop.Run]
	if !ok || o.worker.status.ID != stop.To.ID {
		return false
	}

	switch {
	case o.worker.incarnations.mayBeEarlier(stop.epoch):
		o.nextStop = now
		s.orphans[stop.Run] = o
	case outcome == mill.OutcomeWorkerReplaced, outcome.Stopped():
		delete(s.orphans, stop.Run)
	case outcome.Transient():
		o.nextStop = now.Add(retryDelay)
		s.orphans[stop.Run] = o
	default:
	}

	return true
}

// RenewAnswered records a worker's reply to a renewal that was sent at the given time: its report of
// running and finished runs.
func (s *Scheduler) RenewAnswered(renew *Renew, reply *mill.RenewReply, sentAt, now time.Time) {
	w, ok := s.workers[renew.To.ID]
	if !ok {
		return
	}

	w.renewing = false

	if w.incarnations.mayBeEarlier(renew.epoch) {
		s.earlierListArrived(w, reply, now)

		return
	}

	switch reply.Outcome {
	case mill.OutcomeAccepted:
	case mill.OutcomeWorkerReplaced:
		s.workerReplaced(w, now)

		return
	case mill.OutcomeNotListening:
		// A worker that has announced its shutdown and whose host refuses connections has ended.
		w.gone = w.gone || w.leaving
		w.renewalFailed(now)

		return
	default:
		w.renewalFailed(now)

		return
	}

	s.assumeInheritedLease(w, renew, reply, now)

	w.contacted = true
	w.unfenced = false
	w.freshReport = true
	w.mayHoldInherited = false
	w.failedRenewals = 0
	w.lastHeard = now
	w.nextRenewal = now.Add(minRenewInterval)
	w.acknowledgedThrough = max(w.acknowledgedThrough, renew.Order.Acknowledged)

	s.identifyIncarnation(w, renew, reply, now)
	w.silentSince = time.Time{}
	w.lastRenewal = w.answeredAt(reply.ClockMilli, sentAt, now)
	w.clock.observe(reply.ClockMilli, now)
	s.readFinished(w, reply.Finished)

	listed := s.readRunning(w, reply.Running, now)
	// A full list may leave out finished runs, so nothing follows from a run that is missing.
	if len(reply.Finished) < maxReportedFinished {
		s.resolveUnlisted(w, listed, sentAt)
	}

	if w.uncommittedFinishes == 0 {
		w.committedThrough = max(w.committedThrough, w.listedThrough)
	}
}

// identifyIncarnation records which incarnation of a worker has answered a renewal that was created after the known one was
// learned of. Another one is newer, whatever its start time.
func (s *Scheduler) identifyIncarnation(w *worker, renew *Renew, reply *mill.RenewReply, now time.Time) {
	if reply.StartUnixMilli == 0 || w.status.StartUnixMilli == 0 || reply.StartUnixMilli == w.status.StartUnixMilli {
		w.incarnations.confirm(renew.epoch)

		return
	}

	s.workerRestarted(w, reply.ClockMilli, now)
	w.status.StartUnixMilli = reply.StartUnixMilli
	w.statusSentAt = time.Time{}
	w.status.Sequence = 0 // The new incarnation numbers its reports from the start again.
	w.recordCurrent = false
}

// assumeInheritedLease assumes the longest possible lease of an earlier leader for a worker that may hold runs of it and
// answers a renewal that granted none.
func (s *Scheduler) assumeInheritedLease(w *worker, renew *Renew, reply *mill.RenewReply, now time.Time) {
	if w.mayHoldInherited && renew.Order.LeaseExpiryMilli == 0 {
		w.leaseEndMilli = max(w.leaseEndMilli, reply.ClockMilli+s.earlierLeaseLeft(now).Milliseconds())
	}
}

// listedRun returns the run that a worker lists, if it is one that was placed there.
func (s *Scheduler) listedRun(w *worker, ref mill.RunRef) (r *run, ok bool) {
	r, ok = s.runs[ref.Task]

	return r, ok && r.number == ref.Run && r.worker == w && r.phase != runProposed
}

func (s *Scheduler) readFinished(w *worker, finished []mill.FinishedRun) {
	for i := range finished {
		f := &finished[i]
		if f.Number <= w.committedThrough {
			continue
		}

		w.listedThrough = max(w.listedThrough, f.Number)

		r, ok := s.listedRun(w, f.RunRef)
		if !ok {
			continue
		}

		if f.Checkpoint != "" {
			r.checkpoint = f.Checkpoint
		}

		s.finishRun(r, f.Cause)
	}
}

// readRunning records the running runs that a worker lists, and returns the tasks of those that
// belong there.
func (s *Scheduler) readRunning(w *worker, statuses []mill.RunStatus, now time.Time) map[mill.TaskID]bool {
	listed := make(map[mill.TaskID]bool, len(statuses))
	w.hasUnknownRuns = false

	for i := range statuses {
		status := &statuses[i]

		r, ok := s.listedRun(w, status.RunRef)
		if !ok {
			s.addOrphan(w, status)

			continue
		}

		listed[status.Task] = true

		r.clearCrash()

		if r.phase == runInherited || r.phase == runStarting {
			s.markStarted(r, now)
		}

		s.trackProgress(r, status, now)
	}

	return listed
}

func (s *Scheduler) addOrphan(w *worker, status *mill.RunStatus) {
	r, ok := s.runs[status.Task]
	if ok && r.number == status.Run && r.worker == w {
		return // The run is being placed on this worker, so it is no orphan.
	}

	w.hasUnknownRuns = true

	if _, known := s.orphans[status.RunRef]; !known {
		s.orphans[status.RunRef] = orphan{worker: w}
	}
}

// trackProgress records a run's progress, and stops a run that makes none. A run that is throttled, and
// a long-running one that is at work, need not make any.
func (s *Scheduler) trackProgress(r *run, status *mill.RunStatus, now time.Time) {
	if status.Checkpoint != "" {
		r.checkpoint = status.Checkpoint
	}

	s.proveRun(r, now)

	r.tailMilli = status.Gauge

	s.recordAtWork(r, status, now)

	if r.slowedPercent > 0 || status.Percent != r.percent || r.step.LongRunning && status.Percent >= fullPercent {
		r.percent = status.Percent
		r.progressAt = now

		return
	}

	limit := stallTimeout
	if r.step.Gang {
		limit += s.bounds.GangTimeout
	}

	if r.phase == runStarted && !r.stopping && now.Sub(r.progressAt) > limit {
		s.stopRun(r)
		s.addEvent(EventStalled, r, "")
		s.blameForStall(r, now)
	}
}

// blameForStall quarantines the worker of a run that stands still. If it is a member of a gang, all members do, because the
// worker of one hangs: those on which other runs progress do not.
func (s *Scheduler) blameForStall(r *run, now time.Time) {
	if r.gang == nil {
		r.worker.health.Quarantine(now)

		return
	}

	for index := range r.gang.members {
		member, ok := s.runs[r.task.Task(index)]
		if ok && member.gang == r.gang && member.phase == runStarted && !member.worker.progresses(now) {
			member.worker.health.Quarantine(now)
		}
	}
}

// recordAtWork updates the worker's health with a long-running run that is at work.
func (*Scheduler) recordAtWork(r *run, status *mill.RunStatus, now time.Time) {
	if r.step.LongRunning && r.phase == runStarted && status.Percent >= fullPercent {
		r.worker.health.RecordAtWork(r.placedAt, now.Sub(r.startedAt))
	}
}

// fullPercent is the progress that is reported for a long-running task that is at work.
const fullPercent = 100

// resolveUnlisted finishes the runs that are missing from a report but would be in it if they were
// active, because they were last updated before the report was requested.
func (s *Scheduler) resolveUnlisted(w *worker, listed map[mill.TaskID]bool, requestedAt time.Time) {
	for _, r := range w.runs {
		if listed[r.task] || !r.updatedAt.Before(requestedAt) {
			continue
		}

		switch {
		case r.phase == runStarted:
			s.finishRun(r, mill.FinishLeaseExpired)
		case r.phase == runInherited, r.phase == runDoubtful && r.stopAcknowledged:
			s.finishRun(r, mill.FinishNotStarted)
		default:
		}
	}
}

// AdviceAnswered records the advisor's reply to a request; a nil reply means that the request failed.
func (s *Scheduler) AdviceAnswered(request *AdviceRequest, reply *mill.Advice, now time.Time) {
	if a, ok := s.advisorAddresses[request.Address]; ok {
		a.busy = false
	}

	a, ok := s.advice[request.Step]
	if !ok {
		return
	}

	a.requestPending = false

	if reply == nil {
		a.nextRequest = now.Add(retryDelay)

		return
	}

	asked := 0

	for _, id := range request.Workers {
		if !a.answeredFor[id] {
			asked++
		}

		a.answeredFor[id] = true
	}

	// Workers that were asked about again are known to be allowed, so such an answer says nothing about the share.
	if asked == len(request.Workers) {
		s.allowedShares.Record(request.Queue, asked, len(reply.Tickets))
	}

	for _, t := range reply.Tickets {
		a.add(t.Worker, ticket{text: t.Text, validUntil: now.Add(reply.Validity - ticketMargin)})
	}
	for _, id := range request.Workers {
		if w, ok := s.workers[id]; ok {
			a.know(w)
		}
	}
}
