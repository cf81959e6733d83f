package lead

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// EventKind is what an Event tells of.
type EventKind string

// The kinds of events.
const (
	EventPlace EventKind = "run placed"
	EventStart EventKind = "start answered"
	EventStop  EventKind = "stop answered"
	EventEnd   EventKind = "run ended"
	EventStill EventKind = "run stands still"
	// EventPace tells of a run whose pace has changed, since it fills beside a serving one.
	EventPace EventKind = "pace changed"
	// EventYield tells of a run that is stopped for the step in the detail.
	EventYield EventKind = "run yields"
)

// maxEvents bounds the events that wait to be logged; the rest are left out.
const maxEvents = 4096

// Event is one line for the log.
type Event struct {
	Kind   EventKind
	Task   mill.TaskID
	Run    int
	Worker string
	Detail string
}

func (s *Scheduler) note(kind EventKind, r *run, detail string) {
	if len(s.events) >= maxEvents {
		return
	}

	s.events = append(s.events, Event{Kind: kind, Task: r.task, Run: r.number, Worker: r.worker.status.ID, Detail: detail})
}

// TakeEvents returns what has happened since the last call.
func (s *Scheduler) TakeEvents() []Event {
	events := s.events
	s.events = nil

	return events
}
