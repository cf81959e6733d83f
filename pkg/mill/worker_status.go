package mill

import (
	"net/netip"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
)

// The bounds of a worker's status, so that one that does not come from a worker can neither exhaust memory nor overflow
// the sums over all workers.
const (
	// MaxStatusText limits the id, the service, the data centre and each label in bytes.
	MaxStatusText = 256
	// MaxLabels limits the labels of a worker.
	MaxLabels = 64
	// MaxStatusNumber limits the numbers that only grow: the largest that every JSON reader keeps exact.
	MaxStatusNumber = 1 << 53
	// MaxRemaining limits the time that a draining worker has left.
	MaxRemaining = 365 * 24 * time.Hour
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

// Validate returns ErrInvalid naming the first field that no worker would send. A capacity of zero is valid: such a worker
// takes no work.
func (s *WorkerStatus) Validate() error {
	if err := s.validateTexts(); err != nil {
		return err
	}

	address, err := netip.ParseAddrPort(s.Address)
	if err != nil || address.Port() == 0 {
		return merry.Prependf(ErrInvalid, "address %.64q: want an IP address and a port of 1 to 65535", s.Address)
	}

	for _, amount := range []int64{s.Capacity.MilliCores, s.Capacity.MemoryMiB, s.Capacity.Accelerators} {
		if amount < 0 || amount > MaxTaskAmount {
			return merry.Prependf(ErrInvalid, "capacity %+v: want 0 to %d", s.Capacity, int64(MaxTaskAmount))
		}
	}

	return s.validateNumbers()
}

func (s *WorkerStatus) validateNumbers() error {
	if s.Remaining < 0 || s.Remaining > MaxRemaining {
		return merry.Prependf(ErrInvalid, "time left %s: want 0 to %s", s.Remaining, MaxRemaining)
	}

	for _, number := range []int64{s.StartUnixMilli, s.ClockMilli} {
		if number < 0 || number > MaxStatusNumber {
			return merry.Prependf(ErrInvalid, "start %d, clock %d: want 0 to %d", s.StartUnixMilli, s.ClockMilli, MaxStatusNumber)
		}
	}

	if s.Sequence > MaxStatusNumber {
		return merry.Prependf(ErrInvalid, "sequence %d: want at most %d", s.Sequence, MaxStatusNumber)
	}

	return nil
}

func (s *WorkerStatus) validateTexts() error {
	if len(s.Labels) > MaxLabels {
		return merry.Prependf(ErrInvalid, "%d labels: want at most %d", len(s.Labels), MaxLabels)
	}

	for _, text := range append([]string{s.ID, s.Service, s.DataCentre, s.Rack}, s.Labels...) {
		if err := validateStatusText(text); err != nil {
			return err
		}
	}

	return nil
}

// ValidateWorkerID returns ErrInvalid for an id that no worker has.
func ValidateWorkerID(id string) error {
	if id == "" {
		return merry.Prepend(ErrInvalid, "worker id is empty: want the id in the worker's reports")
	}

	return validateStatusText(id)
}

func validateStatusText(text string) error {
	if len(text) > MaxStatusText {
		return merry.Prependf(ErrInvalid, "%.64q and %d bytes more: want at most %d bytes", text, len(text)-64, MaxStatusText)
	}

	if !utf8.ValidString(text) {
		return merry.Prependf(ErrInvalid, "%q: want UTF-8", text)
	}

	return nil
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
