package lead

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// EventKind is the kind of an Event. Its text is the log message.
type EventKind string

// The kinds of events.
const (
	EventPlace   EventKind = "run placed"
	EventStart   EventKind = "start answered"
	EventStop    EventKind = "stop answered"
	EventFinish  EventKind = "run ended"
	EventStalled EventKind = "run stalled"
	// EventPace is a change of a best-effort task's pace.
	EventPace EventKind = "pace changed"
	// EventPreempt is a run that is stopped for the step named in the detail.
	EventPreempt EventKind = "run preempted"
	// EventSuspect is a run that is suspected of having crashed its worker.
	EventSuspect EventKind = "run suspected of a crash"
	// EventRack is a decision about tasks that want a rack. Its run and worker are not set.
	EventRack EventKind = "rack decided"
)

// maxEvents bounds the events that wait to be logged; further ones are dropped.
const maxEvents = 4096

// Event is something about a run to be logged.
type Event struct {
	Kind   EventKind
	Task   mill.TaskID
	Run    int
	Worker string
	Detail string
}

func (s *Scheduler) addEvent(kind EventKind, r *run, detail string) {
	if len(s.events) >= maxEvents {
		return
	}

	s.events = append(s.events, Event{Kind: kind, Task: r.task, Run: r.number, Worker: r.worker.status.ID, Detail: detail})
}

// TakeEvents returns the events since the last call.
func (s *Scheduler) TakeEvents() []Event {
	events := s.events
	s.events = nil

	return events
}
