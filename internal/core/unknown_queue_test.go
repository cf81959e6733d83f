package core_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestCancelAfterQueueWasRemoved cancels a job whose queue is not in the newest setup any more, and expects its tasks to be
// stopped.
func TestCancelAfterQueueWasRemoved(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.configure(0, 1)
	cluster.startEndlessJob("first", 3)

	cluster.eventually("configure", func() error {
		return cluster.cores[0].Configure(callContext(), &mill.Setup{
			Version: 2, Services: []mill.Service{{Name: "s"}}, Document: []byte("2"),
		})
	})

	assert.NilError(t, cluster.front.Cancel(callContext(), at("/q/first")))
	cluster.expectRuns(0)
}

// TestUnknownQueueNeedsConfirmedLeader asks for a queue that the remaining process does not know, right after it has lost
// the others. They may have accepted a setup with that queue since, so that no answer may say that there is none.
func TestUnknownQueueNeedsConfirmedLeader(t *testing.T) {
	cluster := newCutOffLeader(t)

	assert.Assert(t, !errors.Is(cluster.front.Cancel(callContext(), at("/new/first")), mill.ErrNoQueue))

	_, err := cluster.front.Pending(callContext(), at("/new/"))
	assert.Assert(t, !errors.Is(err, mill.ErrNoQueue), err)

	receipt, err := cluster.front.Submit(callContext(), at("/new/second"), &mill.Workload{
		Spec: "second", Steps: []mill.Step{{Count: 1, Estimate: time.Second}},
	})
	assert.NilError(t, err)
	assert.Assert(t, receipt.Verdict != mill.VerdictNoQueue)
}
