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

// failingStorage is a storage whose appends fail.
type failingStorage struct {
	disk.Memory

	attempts int
}

// Append fails.
func (s *failingStorage) Append(...[]byte) error {
	s.attempts++

	return errDisk
}

// oneRecordMachine outputs one record with a message before and after it.
type oneRecordMachine struct {
	taken bool
	saved bool
}

func (m *oneRecordMachine) Tick()       {}
func (m *oneRecordMachine) Step(string) {}
func (m *oneRecordMachine) Saved()      { m.saved = true }

func (m *oneRecordMachine) TakeOutput() Output[string] {
	if m.taken {
		return Output[string]{}
	}

	m.taken = true

	return Output[string]{BeforeSave: []string{"early"}, Records: [][]byte{{1}}, AfterSave: []string{"late"}}
}

// TestFailedSyncEndsTheDriver checks that a failed sync ends the driver, without
// a retry and without sending messages that depend on the record.
func TestFailedSyncEndsTheDriver(t *testing.T) {
	machine := &oneRecordMachine{}
	storage := &failingStorage{}

	var sent []string

	driver := New[string](machine, Config[string]{
		Storage: storage,
		Send:    func(message string) { sent = append(sent, message) },
		Tick:    time.Millisecond,
	})

	err := driver.Run(context.Background())
	assert.ErrorIs(t, err, errDisk)
	assert.Equal(t, storage.attempts, 1)
	assert.Assert(t, !machine.saved)
	assert.DeepEqual(t, sent, []string{"early"})
}
