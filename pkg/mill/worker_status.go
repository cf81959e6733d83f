package mill

import (
	"slices"
	"time"
)

// WorkerStatus is what a worker says of itself.
type WorkerStatus struct {
	// ID names one life of a worker, but for one that starts again under its id.
	ID string
	// BornUnixMilli tells lives under one id apart: when this one began, by the worker's clock.
	BornUnixMilli int64
	Service       string
	Address       string
	DataCentre    string
	// Kind and Rack are the worker's labels; a step may demand any of Labels.
	Rack   string
	Labels []string
	// Capacity is all that the worker has to give.
	Capacity Resources
	// Draining workers take no new work; Remaining is the least time they have left.
	Draining  bool
	Remaining time.Duration
	// ClockMilli is the worker's steady clock when it sent this.
	ClockMilli int64
	// Sequence rises with each status of one life.
	Sequence uint64
}

// NewerThan reports whether s was sent after other, by the same worker.
func (s *WorkerStatus) NewerThan(other *WorkerStatus) bool {
	if s.BornUnixMilli != other.BornUnixMilli {
		return s.BornUnixMilli > other.BornUnixMilli
	}

	return s.Sequence > other.Sequence
}

// Facts returns the status without what changes with every report.
func (s *WorkerStatus) Facts() WorkerStatus {
	facts := *s
	facts.Remaining, facts.ClockMilli, facts.Sequence = 0, 0, 0

	return facts
}

// SameFacts reports whether two statuses differ at most in what changes with every report.
func (s *WorkerStatus) SameFacts(other *WorkerStatus) bool {
	return s.ID == other.ID && s.BornUnixMilli == other.BornUnixMilli && s.Service == other.Service &&
		s.Address == other.Address && s.DataCentre == other.DataCentre && s.Rack == other.Rack &&
		s.Capacity == other.Capacity && s.Draining == other.Draining && slices.Equal(s.Labels, other.Labels)
}

// HasLabel reports whether the worker has the label; every worker has "".
func (s *WorkerStatus) HasLabel(label string) bool {
	if label == "" {
		return true
	}

	return slices.Contains(s.Labels, label)
}
