package drive

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/disk"
)

var errDisk = errors.New("input/output error")

// brokenStorage fails to sync.
type brokenStorage struct {
	disk.Memory

	tries int
}

// Append fails.
func (s *brokenStorage) Append(...[]byte) error {
	s.tries++

	return errDisk
}

// oneWrite is a machine that wants one record stored and then says so.
type oneWrite struct {
	taken bool
	saved bool
}

func (m *oneWrite) Tick()       {}
func (m *oneWrite) Step(string) {}
func (m *oneWrite) Saved()      { m.saved = true }

func (m *oneWrite) Take() Output[string] {
	if m.taken {
		return Output[string]{}
	}

	m.taken = true

	return Output[string]{Early: []string{"early"}, Records: [][]byte{{1}}, Late: []string{"late"}}
}

// TestFailedSyncEndsTheDriver expects a failed sync to end the process's duty:
// no second try, and nothing said that needed the record.
func TestFailedSyncEndsTheDriver(t *testing.T) {
	machine := &oneWrite{}
	storage := &brokenStorage{}

	var sent []string

	driver := New[string](machine, Config[string]{
		Storage: storage,
		Send:    func(message string) { sent = append(sent, message) },
		Tick:    time.Millisecond,
	})

	err := driver.Run(context.Background())
	assert.ErrorIs(t, err, errDisk)
	assert.Equal(t, storage.tries, 1)
	assert.Assert(t, !machine.saved)
	assert.DeepEqual(t, sent, []string{"early"})
}
