package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/core"
	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/relay"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The size to design for, see docs/CAPACITY.md.
const (
	targetWorkers      = 4400
	targetRunningTasks = 53000
	targetTasksPerJob  = 10
	targetSpecBytes    = 1000
	// maxBatch is the most messages that an outbox delivers at once.
	maxBatch = 64
)

func targetStatus(i int) *mill.WorkerStatus {
	return &mill.WorkerStatus{
		ID: fmt.Sprintf("i-%012x", i), StartUnixMilli: 1_790_000_000_000, Service: "booking", DataCentre: "datacentre-1a",
		Address: fmt.Sprintf("10.%d.%d.1:7400", i/250, i%250), Rack: "rack-17", Labels: []string{"label-one", "rack-17"},
		Capacity: mill.Resources{MilliCores: 64000, MemoryMiB: 256000}, ClockMilli: 90_000_000, Sequence: 60_000,
	}
}

func targetTask(i int) mill.TaskID {
	return mill.TaskID{StepID: mill.StepID{Job: fmt.Sprintf("%016x", i/targetTasksPerJob)}, Index: i % targetTasksPerJob}
}

// targetState returns the state at the size to design for, with as many finished jobs as are kept.
func targetState() *jobs.State {
	state := jobs.NewState()
	state.Apply(&jobs.Command{Setup: distinctSetup(1200)})
	queue := state.Setup().Queues[0].Name
	work := mill.Workload{
		Spec: strings.Repeat("s", targetSpecBytes), Steps: []mill.Step{{Count: targetTasksPerJob, Estimate: time.Second}},
	}

	for i := range targetWorkers {
		state.Apply(&jobs.Command{RecordWorker: targetStatus(i)})
	}

	for i := range jobs.MaxFinishedJobs {
		id := fmt.Sprintf("f%015x", i)
		state.Apply(&jobs.Command{Submit: &jobs.Submit{Job: id, Queue: queue, Work: work, UnixMilli: 1_790_000_000_000}})
		state.Apply(&jobs.Command{Cancel: &jobs.Cancel{Job: id}})
	}

	for i := range targetRunningTasks {
		task := targetTask(i)
		state.Apply(&jobs.Command{Submit: &jobs.Submit{Job: task.Job, Queue: queue, Work: work, UnixMilli: 1_790_000_000_000}})
		state.Apply(&jobs.Command{Place: &jobs.Place{Task: task, Run: 1, Worker: targetStatus(i % targetWorkers).ID}})
	}

	return state
}

// BenchmarkGrowthBytes reports the bytes of the messages that grow with workers, tasks or jobs at the size to design for, as
// they are sent to this build; the snapshot before it is compressed.
func BenchmarkGrowthBytes(b *testing.B) {
	updates := make([]core.WorkerUpdate, maxBatch)
	orders := make([]relay.Order, maxBatch)
	entries := make([]raft.Entry, maxBatch)
	names := make([]string, 100)
	commands := make([]jobs.Command, 8)

	for i := range commands {
		commands[i].Place = &jobs.Place{Task: targetTask(i), Run: 1, Worker: targetStatus(i).ID}
	}

	entry, _, err := jobs.EncodeBatch(commands)
	assert.NilError(b, err)

	for i := range maxBatch {
		updates[i] = core.WorkerUpdate{Status: targetStatus(i), AgeMilli: 100}
		orders[i] = relay.Order{
			Worker: targetStatus(i).ID, Address: targetStatus(i).Address, Task: targetTask(i), Run: 1,
			Spec: strings.Repeat("s", targetSpecBytes), Ticket: strings.Repeat("t", 100),
		}
		entries[i] = raft.Entry{Index: uint64(i), Term: 1, Data: entry}
	}

	for i := range names {
		names[i] = targetStatus(i).ID
	}

	state, err := targetState().Save()
	assert.NilError(b, err)

	report := func(name string, data []byte, err error) {
		assert.NilError(b, err)
		b.ReportMetric(float64(len(data)), name)
	}

	for b.Loop() {
		_, err := drive.EncodeBatch(entries, true)
		assert.NilError(b, err)
	}

	data, err := drive.EncodeBatch(updates, true)
	report("updates-B", data, err)
	data, err = drive.EncodeBatch(orders, false)
	report("orders-B", data, err)
	data, err = drive.EncodeBatch([]raft.Message{{Kind: raft.KindAppendEntries, Entries: entries}}, true)
	report("entries-B", data, err)
	data, err = wire.Encode(&core.AdviseRequest{Workers: names})
	report("advice-B", data, err)
	report("snapshot-B", state, err)
}
