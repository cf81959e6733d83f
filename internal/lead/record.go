package lead

import (
	"github.com/cranberrymill/cranberrymill/internal/jobs"
)

// recordsAtOnce bounds the changes of recorded workers in one entry of the log, so
// that the first reports of thousands of workers do not hold up placements.
const recordsAtOnce = 64

// recall takes over what the log holds of the workers. It answers restarts of all
// processes: without it a leader can call a worker only after its next report.
func (s *Scheduler) recall(state *jobs.State) {
	for id, recorded := range state.Workers() {
		w := s.worker(id)
		w.status = *recorded
		w.recorded = recorded
	}
}

// record returns the commands that bring the log's records of the workers up to date.
func (s *Scheduler) record() []jobs.Command {
	var commands []jobs.Command

	for id, w := range s.workers {
		if len(commands) == recordsAtOnce {
			break
		}

		if command, due := w.recordDue(id); due {
			w.recording = true

			commands = append(commands, command)
		}
	}

	for _, id := range s.forgotten {
		commands = append(commands, jobs.Command{ForgetWorker: id})
	}

	s.forgotten = nil

	return commands
}

// recordDue returns the command that brings the worker's record up to date, if one is due.
func (w *worker) recordDue(id string) (command jobs.Command, due bool) {
	switch ended := w.gone || !w.removed.IsZero(); {
	case w.recording:
		return jobs.Command{}, false
	case ended:
		return jobs.Command{ForgetWorker: id}, w.recorded != nil && len(w.runs) == 0
	case w.heard.IsZero() || w.recorded != nil && w.recorded.SameStableFields(&w.status):
		return jobs.Command{}, false
	default:
		facts := w.status.StableFields()

		return jobs.Command{RecordWorker: &facts}, true
	}
}

// recordCommitted takes note of what came of a change of a worker's record.
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

	if committed {
		w.recorded = command.RecordWorker
	}
}
