package core_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// startEndlessJob starts a job whose tasks run until they are stopped.
func (c *testCluster) startEndlessJob(id string, tasks int) {
	c.worker.setEndless()

	c.submit(id, &mill.Workload{Spec: id, Steps: []mill.Step{{Count: tasks, Estimate: time.Second}}})
	c.expectRuns(tasks)
}

// expectRuns waits until the worker has that many runs in progress.
func (c *testCluster) expectRuns(count int) {
	c.t.Helper()

	c.eventually("runs", func() error {
		c.report(0)

		if runs := c.worker.runs(); runs != count {
			return fmt.Errorf("%d runs in progress, want %d", runs, count)
		}

		return nil
	})
}

// TestCancelDuringOutage cancels a job while most of the core is down, and goes on until the cancellation is acknowledged,
// as callers do. It expects the next leader to stop the job's tasks, which it knows from the log alone.
func TestCancelDuringOutage(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.configure(0, 1)
	cluster.startEndlessJob("first", 3)

	cluster.stop(1)
	cluster.stop(2)

	// A leader that has not noticed the loss yet would add the cancellation to its log.
	cluster.eventually("notice the loss", func() error {
		if _, err := cluster.front.State(callContext(), at("/q/first")); err == nil {
			return errors.New("there is still a leader")
		}

		return nil
	})

	assert.ErrorIs(t, cluster.front.Cancel(callContext(), at("/q/first")), mill.ErrUnavailable)
	assert.Equal(t, cluster.worker.runs(), 3)

	cluster.restart(1)
	cluster.restart(2)
	cluster.eventually("cancel", func() error { return cluster.front.Cancel(callContext(), at("/q/first")) })
	cluster.expectRuns(0)
	cluster.eventually("read", func() error {
		state, err := cluster.front.State(callContext(), at("/q/first"))
		if err == nil && state != mill.JobCanceled {
			t.Fatalf("the job is %s after its cancellation was acknowledged", state)
		}

		return err
	})
}

// newCutOffLeader returns a cluster whose remaining process has just lost the others, and has accepted a job before.
func newCutOffLeader(t *testing.T) *testCluster {
	t.Helper()

	cluster := newTestCluster(t)
	cluster.configure(0, 1)
	cluster.submit("first", &mill.Workload{Spec: "first", Steps: []mill.Step{{Count: 1, Estimate: time.Second}}})

	cluster.stopOthers(at("/q/first"))

	return cluster
}

// stopOthers stops all processes but the first once that leads and knows a job.
func (c *testCluster) stopOthers(job mill.Target) {
	c.stop(1)
	c.eventually("lead", func() error {
		_, err := c.front.State(callContext(), job)

		return err
	})
	c.stop(2)
}

// TestUnknownJobNeedsConfirmedLeader asks for a job that the remaining process does not know, right after it has lost the
// others. They may have accepted the job since, so that neither the answer nor a cancellation may say that there is none.
func TestUnknownJobNeedsConfirmedLeader(t *testing.T) {
	cluster := newCutOffLeader(t)

	_, err := cluster.front.State(callContext(), at("/q/none"))
	assert.Assert(t, !errors.Is(err, mill.ErrNotFound), err)
	assert.Assert(t, !errors.Is(cluster.front.Cancel(callContext(), at("/q/none")), mill.ErrNotFound))
}
