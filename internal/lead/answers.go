package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// endsAtOnce is the number of ends that a worker lists in one report at most.
const endsAtOnce = 500

// StartAnswered takes note of a worker's answer to a start.
func (s *Scheduler) StartAnswered(start *Start, reply mill.OrderReply, now time.Time) {
	r, ok := s.runs[start.Order.Task]
	if !ok || r.number != start.Order.Run || r.worker.status.ID != start.To.ID {
		return
	}

	r.inFlight = false
	r.worker.clock.observe(reply.ClockMilli, now)
	s.note(EventStart, r, reply.Outcome.String())

	switch reply.Outcome {
	case mill.OutcomeAccepted:
		s.alive(r, now)
	case mill.OutcomeWorkerReplaced:
		r.worker.gone = true
	case mill.OutcomeFinished:
		s.doubt(r, now)
		r.barred = true
	case mill.OutcomeUnanswered, mill.OutcomeFenced:
		s.startAgain(r, now)
	default:
		s.startRefused(r, reply.Outcome, now)
	}
}

func (s *Scheduler) alive(r *run, now time.Time) {
	if r.phase == runStarting || r.phase == runInherited {
		r.phase = runAlive
	}

	r.answered = now
	r.moved = now

	if r.started.IsZero() {
		r.started = now
	}
}

// startAgain gives the same order again, which is idempotent, or bars the run.
func (s *Scheduler) startAgain(r *run, now time.Time) {
	r.next = now.Add(retryTime)

	if r.tries >= startTries {
		s.doubt(r, now)
	}
}

// startRefused ends a run that has not begun. An earlier order for it that stayed
// without an answer may still be carried out, and has to be barred first.
func (s *Scheduler) startRefused(r *run, outcome mill.OrderOutcome, now time.Time) {
	s.blame(r, outcome, now)

	if r.tries > 1 {
		s.doubt(r, now)

		return
	}

	s.endRun(r, mill.FinishNotStarted)
}

// blame corrects what the refused order was based on.
func (s *Scheduler) blame(r *run, outcome mill.OrderOutcome, now time.Time) {
	switch outcome {
	case mill.OutcomeExpired:
		r.worker.clock = clock{}
	case mill.OutcomeNoTicket:
		if a, ok := s.advice[r.task.StepID]; ok {
			a.tickets[r.worker.status.ID] = ticket{}
		}
	case mill.OutcomeUnhealthy:
		r.worker.record.RecordFailure(r.task.Job, 1, now)
	default:
		r.worker.record.Quarantine(now)
	}
}

// doubt bars a run of which it is open whether it has begun or will begin.
func (s *Scheduler) doubt(r *run, now time.Time) {
	r.phase = runDoubtful
	r.stopping = true
	r.answered = now
}

// StopAnswered takes note of a worker's answer to a stop.
func (s *Scheduler) StopAnswered(stop *Stop, reply mill.OrderReply, now time.Time) {
	if reply.Outcome == mill.OutcomeUnanswered {
		return
	}

	if s.forgetStray(stop) {
		return
	}

	r, ok := s.runs[stop.Run.Task]
	if !ok || r.number != stop.Run.Run || r.worker.status.ID != stop.To.ID {
		return
	}

	s.note(EventStop, r, reply.Outcome.String())

	switch reply.Outcome {
	case mill.OutcomeWorkerReplaced:
		r.worker.gone = true
	case mill.OutcomeFenced:
	default:
		r.worker.clock.observe(reply.ClockMilli, now)
		r.barred = true

		if r.phase == runStarting {
			r.phase = runDoubtful
		}

		r.answered = now
		r.worker.nextRenew = now
	}
}

func (s *Scheduler) forgetStray(stop *Stop) bool {
	found, ok := s.strays[stop.Run]
	if !ok || found.worker.status.ID != stop.To.ID {
		return false
	}

	delete(s.strays, stop.Run)

	return true
}

// RenewAnswered takes note of a worker's report that was asked for at a time.
func (s *Scheduler) RenewAnswered(renew *Renew, reply *mill.RenewReply, asked, now time.Time) {
	w, ok := s.workers[renew.To.ID]
	if !ok {
		return
	}

	w.renewing = false

	switch reply.Outcome {
	case mill.OutcomeAccepted:
	case mill.OutcomeWorkerReplaced:
		w.gone = true

		return
	default:
		w.failures++
		w.nextRenew = now.Add(retryTime)

		return
	}

	w.contacted = true
	w.looked = true
	w.inherits = false
	w.failures = 0
	w.heard = now
	w.answered = now
	w.nextRenew = now.Add(renewPause)
	w.acked = max(w.acked, renew.Order.Acknowledged)

	if reply.StartUnixMilli != 0 && w.status.StartUnixMilli != 0 && reply.StartUnixMilli != w.status.StartUnixMilli {
		s.reborn(w, reply.ClockMilli, now)
		w.status.StartUnixMilli = reply.StartUnixMilli
	}

	w.clock.observe(reply.ClockMilli, now)
	s.readEnds(w, reply.Finished)

	listed := s.readRunning(w, reply.Running, now)
	if len(reply.Finished) < endsAtOnce {
		s.resolveUnlisted(w, listed, asked)
	}

	if w.committing == 0 {
		w.seen = max(w.seen, w.pending)
	}
}

func (s *Scheduler) readEnds(w *worker, rows []mill.FinishedRun) {
	for i := range rows {
		row := &rows[i]
		if row.Number <= w.seen {
			continue
		}

		w.pending = max(w.pending, row.Number)

		r, ok := s.runs[row.Task]
		if !ok || r.number != row.Run || r.worker != w || r.phase == runProposed {
			continue
		}

		if row.Checkpoint != "" {
			r.checkpoint = row.Checkpoint
		}

		s.endRun(r, row.Cause)
	}
}

// readRunning returns the runs that the worker lists and that are wanted there.
func (s *Scheduler) readRunning(w *worker, rows []mill.RunStatus, now time.Time) map[mill.TaskID]bool {
	listed := make(map[mill.TaskID]bool, len(rows))

	for i := range rows {
		row := &rows[i]

		r, ok := s.runs[row.Task]
		if !ok || r.number != row.Run || r.worker != w || r.phase == runProposed {
			s.strayFound(w, row)

			continue
		}

		listed[row.Task] = true

		if r.phase == runInherited || r.phase == runStarting {
			s.alive(r, now)
		}

		s.progress(r, row, now)
	}

	return listed
}

func (s *Scheduler) strayFound(w *worker, row *mill.RunStatus) {
	r, ok := s.runs[row.Task]
	if ok && r.number == row.Run && r.worker == w {
		return
	}

	if _, known := s.strays[row.RunRef]; !known {
		s.strays[row.RunRef] = stray{worker: w}
	}
}

// progress follows how far a run is, and stops one that stands still.
func (s *Scheduler) progress(r *run, row *mill.RunStatus, now time.Time) {
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}

	r.gauge = row.Gauge

	if r.slowed > 0 || row.Percent != r.percent || r.step.LongRunning && row.Percent >= fullPercent {
		r.percent = row.Percent
		r.moved = now

		return
	}

	still := stillTime
	if r.step.Gang {
		still += s.bounds.GangWait
	}

	if r.phase == runAlive && !r.stopping && now.Sub(r.moved) > still {
		r.stopping = true
		r.worker.record.Quarantine(now)
		s.note(EventStill, r, "")
	}
}

const fullPercent = 100

// resolveUnlisted ends the runs that a report asked for at a time would list if they lived.
func (s *Scheduler) resolveUnlisted(w *worker, listed map[mill.TaskID]bool, asked time.Time) {
	for _, r := range w.runs {
		if listed[r.task] || !r.answered.Before(asked) {
			continue
		}

		switch {
		case r.phase == runAlive:
			s.endRun(r, mill.FinishLeaseExpired)
		case r.phase == runInherited, r.phase == runDoubtful && r.barred:
			s.endRun(r, mill.FinishNotStarted)
		default:
		}
	}
}

// Advised takes note of the advisor's answer to a question that was asked at a time.
func (s *Scheduler) Advised(ask *Ask, answer *mill.Advice, now time.Time) {
	if c, ok := s.callers[ask.Caller]; ok {
		c.busy = false
	}

	a, ok := s.advice[ask.Step]
	if !ok {
		return
	}

	a.asking = false

	if answer == nil {
		a.next = now.Add(retryTime)

		return
	}

	for _, id := range ask.Workers {
		a.asked[id] = true
	}

	for _, t := range answer.Tickets {
		a.tickets[t.Worker] = ticket{text: t.Text, until: now.Add(answer.Validity - ticketMargin)}
	}
}
