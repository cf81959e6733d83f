package lead

import (
	"github.com/cranberrymill/cranberrymill/internal/jobs"
)

// maxRecordChanges bounds the changes of worker records in one log entry, so that the first reports
// of thousands of workers do not delay placements.
const maxRecordChanges = 64

// loadWorkerRecords loads the workers recorded in the state. Without them, after a restart of
// all processes, a leader could call a worker only after its next report. How old a record is
// cannot be told, so a worker's capacity is known only once it has reported.
func (s *Scheduler) loadWorkerRecords(state *jobs.State) {
	for id, recorded := range state.Workers() {
		w := s.worker(id)
		w.status = *recorded
		w.recorded = recorded
	}
}

// updateWorkerRecords returns the commands that bring the recorded workers up to date.
func (s *Scheduler) updateWorkerRecords() []jobs.Command {
	var commands []jobs.Command

	for _, w := range s.workersByID() {
		if len(commands) == maxRecordChanges {
			break
		}

		if command, due := w.recordDue(w.status.ID); due {
			w.recording = true

			commands = append(commands, command)
		}
	}

	for _, id := range s.forgottenWorkers {
		commands = append(commands, jobs.Command{ForgetWorker: id})
	}

	s.forgottenWorkers = nil

	return commands
}

// recordDue returns the command that brings the worker's record up to date, if one is due.
func (w *worker) recordDue(id string) (command jobs.Command, due bool) {
	switch leaving := w.ended() || w.leaving; {
	case w.recording, w.unrecordable:
		return jobs.Command{}, false
	case leaving:
		return jobs.Command{ForgetWorker: id}, w.recorded != nil && len(w.runs) == 0
	case w.lastHeard.IsZero() || w.recordCurrent:
		return jobs.Command{}, false
	case w.recorded != nil && w.recorded.SameStableFields(&w.status):
		w.recordCurrent = true

		return jobs.Command{}, false
	default:
		stable := w.status.StableFields()

		return jobs.Command{RecordWorker: &stable}, true
	}
}

// recordCommitted records the result of a change of a worker's record.
func (s *Scheduler) recordCommitted(command *jobs.Command, committed bool) {
	id := command.ForgetWorker
	if command.RecordWorker != nil {
		id = command.RecordWorker.ID
	}

	w, ok := s.workers[id]
	if !ok {
		return
	}

	w.recording = false
	w.recordCurrent = false

	if committed {
		w.recorded = command.RecordWorker
	}
}
