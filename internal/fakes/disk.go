package fakes

import (
	"slices"
	"sync"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Disk is an in-memory mill.Storage that survives simulated crashes of its process.
type Disk struct {
	identity string
	durable  bool
	snapshot []byte
	records  [][]byte
}

var _ mill.Storage = (*Disk)(nil)

// NewDisk returns an empty disk with the given identity and durability.
func NewDisk(identity string, durable bool) *Disk {
	return &Disk{identity: identity, durable: durable}
}

// Load returns the snapshot and the records after it.
func (d *Disk) Load() ([]byte, [][]byte, error) {
	return d.snapshot, slices.Clone(d.records), nil
}

// Append adds records.
func (d *Disk) Append(records ...[]byte) error {
	d.records = append(d.records, records...)

	return nil
}

// Compact replaces all content by a snapshot and the records after it.
func (d *Disk) Compact(snapshot []byte, records ...[]byte) error {
	d.snapshot = snapshot
	d.records = slices.Clone(records)

	return nil
}

// Durable returns the value given to NewDisk.
func (d *Disk) Durable() bool {
	return d.durable
}

// Identity returns the value given to NewDisk.
func (d *Disk) Identity() string {
	return d.identity
}

// Close does nothing.
func (d *Disk) Close() error {
	return nil
}

// StallingStorage is a mill.Storage whose writes can be made to hang. It is safe for concurrent use if the storage is.
type StallingStorage struct {
	mill.Storage

	writes sync.RWMutex
}

// Stall waits for the current write, and makes the following ones hang until resume is called.
func (s *StallingStorage) Stall() (resume func()) {
	s.writes.Lock()

	return s.writes.Unlock
}

// Append adds records.
func (s *StallingStorage) Append(records ...[]byte) error {
	s.writes.RLock()
	defer s.writes.RUnlock()

	return s.Storage.Append(records...)
}

// Compact replaces all content by a snapshot and the records after it.
func (s *StallingStorage) Compact(snapshot []byte, records ...[]byte) error {
	s.writes.RLock()
	defer s.writes.RUnlock()

	return s.Storage.Compact(snapshot, records...)
}
