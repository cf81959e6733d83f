package jobs

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// anyText returns texts that are not UTF-8 now and then.
func anyText() *rapid.Generator[string] {
	return rapid.OneOf(rapid.StringN(0, 8, 32), rapid.SampledFrom([]string{"i-\xff\xfe", "\x80", "a\xc3", "\xed\xa0\x80"}))
}

// anyCommand returns commands with texts as callers and workers may send them, unchecked.
func anyCommand() *rapid.Generator[Command] {
	return rapid.Custom(func(t *rapid.T) Command {
		a, b := anyText().Draw(t, "a"), anyText().Draw(t, "b")

		return rapid.SampledFrom([]Command{
			{RecordWorker: &mill.WorkerStatus{ID: a, Labels: []string{b}}},
			{ForgetWorker: "w" + a},
			{Submit: &Submit{Job: a, Queue: "q", Work: mill.Workload{Spec: b, Steps: []mill.Step{{Count: 1, Label: a}}}}},
			{Cancel: &Cancel{Job: a}},
			{Place: &Place{Task: mill.StepID{Job: a}.Task(0), Run: 1, Worker: b}},
			{Finish: &Finish{Task: mill.StepID{Job: a}.Task(0), Run: 1, Cause: mill.FinishDone, Checkpoint: b}},
			{Setup: &mill.Setup{Version: 1, Queues: []mill.Queue{{Name: a, Host: b}}, Document: []byte(b)}},
			{StartWave: &mill.Wave{Number: 1, Machines: []string{a, b}}},
			{SettleMachine: &SettleMachine{Wave: 1, Machine: a}},
		}).Draw(t, "command")
	})
}

// TestFuzzLogEntriesAreReadable guards against a log entry that replicas skip because one of its commands, such as the
// report of another writer, cannot be decoded: the other commands must take effect, and their results keep their places.
func TestFuzzLogEntriesAreReadable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		commands := rapid.SliceOfN(anyCommand(), 0, 6).Draw(t, "commands")

		data, unreadable, err := EncodeBatch(commands)
		assert.NilError(t, err)

		var batch Batch

		assert.NilError(t, wire.Decode(data, &batch))

		results := make([]Result, len(batch.Commands))
		for i := range results {
			results[i] = ResultApplied
		}

		results = InsertUnreadable(results, unreadable)
		assert.Equal(t, len(results), len(commands))

		logged := 0

		for i := range commands {
			alone, encodeErr := wire.Encode(&Batch{Commands: commands[i : i+1]})
			assert.NilError(t, encodeErr)

			readable := wire.Decode(alone, &Batch{}) == nil
			assert.Equal(t, results[i] == ResultApplied, readable)

			if readable {
				assert.DeepEqual(t, encoded(t, &batch.Commands[logged]), encoded(t, &commands[i]))

				logged++
			}
		}
	})
}

func encoded(t *rapid.T, command *Command) []byte {
	data, err := wire.Encode(command)
	assert.NilError(t, err)

	return data
}

// TestFuzzValidInputIsReadable checks that what passes the checks of workers' reports can be logged.
func TestFuzzValidInputIsReadable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		status := &mill.WorkerStatus{
			ID: anyText().Draw(t, "id"), Service: anyText().Draw(t, "service"), Address: "10.0.0.1:80",
			DataCentre: anyText().Draw(t, "dataCentre"), Rack: anyText().Draw(t, "rack"),
			Labels: rapid.SliceOfN(anyText(), 0, 3).Draw(t, "labels"),
		}

		_, unreadable, err := EncodeBatch([]Command{{RecordWorker: status}})
		assert.NilError(t, err)

		if status.Validate() == nil {
			assert.Equal(t, len(unreadable), 0)
		}
	})
}

// largePlan returns the placements of one plan of a large deployment.
func largePlan() []Command {
	commands := make([]Command, 0, 200)
	for i := range cap(commands) {
		commands = append(commands, Command{Place: &Place{
			Task: mill.StepID{Job: "5c0e7a21d94b36f8"}.Task(i), Run: 1, Worker: "i-7f3a91c2",
		}})
	}

	return commands
}

// BenchmarkEncodeBatch encodes an entry, with the check that it can be decoded.
func BenchmarkEncodeBatch(b *testing.B) {
	commands := largePlan()

	for b.Loop() {
		if _, _, err := EncodeBatch(commands); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEncodeUnchecked encodes an entry without the check.
func BenchmarkEncodeUnchecked(b *testing.B) {
	commands := largePlan()

	for b.Loop() {
		if _, err := wire.Encode(&Batch{Commands: commands}); err != nil {
			b.Fatal(err)
		}
	}
}
