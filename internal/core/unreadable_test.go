package core_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestUnreadableWorkerHoldsUpNoJob guards against one worker whose status cannot be logged: while it reported, each log
// entry of the leader was unreadable, and no task was started any more.
func TestUnreadableWorkerHoldsUpNoJob(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.configure(0, 1)
	cluster.reportUnreadable(1)
	cluster.submit("job", &mill.Workload{Spec: "job", Steps: []mill.Step{{Count: 2}, {Count: 1, After: []int{0}}}})

	sequence := uint64(1)

	cluster.eventually("complete", func() error {
		sequence++
		cluster.report(1)
		cluster.reportUnreadable(sequence)

		state, err := cluster.front.State(callContext(), at("/q/job"))
		if err == nil && state != mill.JobCompleted {
			err = fmt.Errorf("the job is %s", state)
		}

		return err
	})
}

// reportUnreadable reports a worker to each core process whose id is not UTF-8.
func (c *testCluster) reportUnreadable(sequence uint64) {
	for _, process := range c.cores {
		_, err := process.ReportWorker(callContext(), &mill.WorkerReport{Status: &mill.WorkerStatus{
			ID: "i-\xff\xfe", StartUnixMilli: 1, Service: "s", Address: "w", Rack: "r", Labels: []string{"a", "r"},
			Capacity: mill.Resources{MilliCores: 4000, MemoryMiB: 4000}, ClockMilli: int64(sequence), Sequence: sequence,
		}})
		assert.NilError(c.t, err)
	}
}
