package mill

import (
	"slices"
	"time"
)

// WorkerStatus is a worker's description of itself.
type WorkerStatus struct {
	// ID identifies one incarnation of a worker, unless the worker restarts under the same id.
	ID string
	// StartUnixMilli distinguishes incarnations under one id: when this one started, by the worker's clock.
	StartUnixMilli int64 `cbor:"BornUnixMilli"`
	Service        string
	Address        string
	DataCentre     string
	Rack           string
	// Labels are the worker's labels; a step may require any one of them.
	Labels []string
	// Capacity is the worker's total capacity.
	Capacity Resources
	// Draining means that the worker takes no new work; Remaining is the least time that it has left.
	Draining  bool
	Remaining time.Duration
	// ClockMilli is the worker's monotonic clock when it sent this status.
	ClockMilli int64
	// Sequence rises with each status of one incarnation.
	Sequence uint64
}

// NewerThan reports whether s was sent after other, by the same worker.
func (s *WorkerStatus) NewerThan(other *WorkerStatus) bool {
	if s.StartUnixMilli != other.StartUnixMilli {
		return s.StartUnixMilli > other.StartUnixMilli
	}

	return s.Sequence > other.Sequence
}

// StableFields returns the status without the fields that change with every report.
func (s *WorkerStatus) StableFields() WorkerStatus {
	stable := *s
	stable.Remaining, stable.ClockMilli, stable.Sequence = 0, 0, 0

	return stable
}

// SameStableFields reports whether two statuses differ at most in the fields that change with every report.
func (s *WorkerStatus) SameStableFields(other *WorkerStatus) bool {
	return s.ID == other.ID && s.StartUnixMilli == other.StartUnixMilli && s.Service == other.Service &&
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
