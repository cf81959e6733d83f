package core

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Leading reports whether this process leads and schedules.
func (c *Core) Leading() bool {
	return c.leadingRunner() != nil
}

// WrapStorage replaces the storage of a process that does not run yet.
func (c *Core) WrapStorage(wrap func(storage mill.Storage) mill.Storage) {
	c.storage = wrap(c.storage)
}

// encodeState returns a snapshot with a setup.
func encodeState(t *testing.T, setup *mill.Setup) []byte {
	t.Helper()

	state := jobs.NewState()
	state.Apply(&jobs.Command{Setup: setup})

	data, err := state.Save()
	assert.NilError(t, err)

	return data
}
