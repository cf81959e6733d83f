package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestForwardedStatusKeepsItsAge has a process forward a status that it received long ago, and expects the receiver
// not to take it for a new one: what it says of the worker's capacity may be out of date.
func TestForwardedStatusKeepsItsAge(t *testing.T) {
	const age = 10 * time.Second

	now := time.Now()

	var first, second Core

	first.workers.add(&mill.WorkerStatus{ID: "w", Sequence: 1}, now.Add(-age))

	second.receiveUpdates(first.recentUpdates(now))

	known := second.workers.recent(now)
	assert.Equal(t, len(known), 1)
	assert.Assert(t, now.Sub(known[0].receivedAt) > age-time.Second, "%s", now.Sub(known[0].receivedAt))
}
