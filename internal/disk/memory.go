package disk

import (
	"slices"
	"sync"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Memory is a mill.Storage that keeps its content in memory. Its zero value is empty and ready to use.
type Memory struct {
	mu       sync.Mutex
	identity string
	snapshot []byte
	records  [][]byte
}

var _ mill.Storage = (*Memory)(nil)

// NewMemory returns an empty storage with a new identity.
func NewMemory() *Memory {
	return &Memory{identity: newIdentity()}
}

// Load returns the snapshot and the records after it.
func (m *Memory) Load() ([]byte, [][]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.snapshot, slices.Clone(m.records), nil
}

// Append adds records.
func (m *Memory) Append(records ...[]byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.records = append(m.records, records...)

	return nil
}

// Compact replaces all content by a snapshot and the records after it.
func (m *Memory) Compact(snapshot []byte, records ...[]byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.snapshot = snapshot
	m.records = slices.Clone(records)

	return nil
}

// Durable returns false, since the content is lost when the process ends.
func (m *Memory) Durable() bool {
	return false
}

// Identity returns an identity that no earlier process had.
func (m *Memory) Identity() string {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.identity == "" {
		m.identity = newIdentity()
	}

	return m.identity
}

// Close does nothing.
func (m *Memory) Close() error {
	return nil
}
