package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
)

// Committed records the results of the commands that an earlier Next returned. After an error their
// outcome is unknown: either the term has ended, or they were never proposed. Their placements are
// then dropped, and their finished runs are proposed again.
func (s *Scheduler) Committed(commands []jobs.Command, results []jobs.Result, err error, now time.Time) {
	for i := range commands {
		result := jobs.ResultObsolete
		if err == nil && i < len(results) {
			result = results[i]
		}

		if result == jobs.ResultUnreadable {
			s.commandUnreadable(&commands[i], now)

			continue
		}

		switch {
		case commands[i].Place != nil:
			s.placementCommitted(commands[i].Place, result == jobs.ResultApplied, now)
		case commands[i].Finish != nil:
			s.finishCommitted(commands[i].Finish, err == nil, now)
		case commands[i].RecordWorker != nil, commands[i].ForgetWorker != "":
			s.recordCommitted(&commands[i], err == nil)
		case commands[i].RecordLearned != nil:
			s.learned.pending = false
		case commands[i].SettleMachine != nil && err != nil:
			s.maintenanceCommands = append(s.maintenanceCommands, commands[i])
		default:
		}
	}
}

// commandUnreadable drops what a worker has sent that cannot be logged, so that it is not proposed again.
func (s *Scheduler) commandUnreadable(command *jobs.Command, now time.Time) {
	switch {
	case command.Place != nil:
		if r, ok := s.runs[command.Place.Task]; ok {
			r.worker.health.Quarantine(now)
		}

		s.placementCommitted(command.Place, false, now)
	case command.Finish != nil:
		if r, ok := s.runs[command.Finish.Task]; ok {
			r.checkpoint = ""
		}

		s.finishCommitted(command.Finish, false, now)
	case command.RecordWorker != nil:
		if w, ok := s.workers[command.RecordWorker.ID]; ok {
			w.recording = false
			w.unrecordable = true
		}
	default:
	}
}

func (s *Scheduler) placementCommitted(place *jobs.Place, applied bool, now time.Time) {
	r, ok := s.runs[place.Task]
	if !ok || r.number != place.Run || r.phase != runProposed {
		return
	}

	if !applied {
		s.forgetRun(r)
		r.worker.remove(r)

		return
	}

	r.phase = runStarting
	r.nextStart = now
	s.ordersDue[r] = struct{}{}
	s.addEvent(EventPlace, r, "")
}

func (s *Scheduler) finishCommitted(finish *jobs.Finish, committed bool, now time.Time) {
	r, ok := s.runs[finish.Task]
	if !ok || r.number != finish.Run {
		return
	}

	if !committed {
		s.finished = append(s.finished, finishedRun{run: r, cause: r.cause, recorded: true})

		return
	}

	s.forgetRun(r)

	w := r.worker
	w.uncommittedFinishes--

	if w.uncommittedFinishes == 0 {
		w.committedThrough = max(w.committedThrough, w.listedThrough)
		w.nextRenewal = now
	}
}
