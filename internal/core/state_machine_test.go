package core

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// outcomeLine is what is read of a log line on the end of a job.
type outcomeLine struct {
	Message     string
	Job         string
	Outcome     string
	Reason      string
	Task        string
	Run         int
	Attempts    int
	MaxAttempts int
	Failures    []int
	Index       uint64
	Leading     bool
}

// loggedOutcomes returns the outcomes that a state machine logs for one log entry.
func loggedOutcomes(t *testing.T, leading bool, commands ...jobs.Command) []outcomeLine {
	t.Helper()

	var logged bytes.Buffer

	writer := log.DefaultLogger.Writer
	log.DefaultLogger.Writer = log.IOWriter{Writer: &logged}

	defer func() { log.DefaultLogger.Writer = writer }()

	data, err := wire.Encode(&jobs.Batch{Commands: commands})
	assert.NilError(t, err)

	newStateMachine(func() bool { return leading }, nil).Apply(7, data)

	var lines []outcomeLine

	for text := range bytes.Lines(logged.Bytes()) {
		var line outcomeLine

		assert.NilError(t, json.Unmarshal(text, &line))

		if line.Message == "job ended" {
			lines = append(lines, line)
		}
	}

	return lines
}

// TestOutcomesAreLogged guards against jobs whose end cannot be explained afterwards, on any replica.
func TestOutcomesAreLogged(t *testing.T) {
	task := mill.StepID{Job: "failing"}.Task(0)
	work := mill.Workload{Steps: []mill.Step{{Count: 2, Gang: true}}}
	commands := []jobs.Command{
		{Setup: &mill.Setup{
			Version: 1, Services: []mill.Service{{Name: "pool"}},
			Queues: []mill.Queue{{Name: "q", Service: "pool", MaxAttempts: 1, Timeout: 1}},
		}},
		{Submit: &jobs.Submit{Job: "failing", Queue: "q", Work: work}},
		{Submit: &jobs.Submit{Job: "canceled", Queue: "q", Work: work}},
		{Place: &jobs.Place{Task: task, Run: 1, Worker: "w"}},
		{Finish: &jobs.Finish{Task: task, Run: 1, Cause: mill.FinishFailed}},
		{Cancel: &jobs.Cancel{Job: "canceled"}},
	}

	failed := outcomeLine{
		Message: "job ended", Job: "failing", Outcome: "failed", Reason: "attemptsUsedUp", Task: "failing.0.0.0", Run: 1,
		Attempts: 1, MaxAttempts: 1, Failures: []int{1, 0}, Index: 7,
	}
	assert.DeepEqual(t, loggedOutcomes(t, false, commands...), []outcomeLine{failed})

	failed.Leading = true
	canceled := outcomeLine{
		Message: "job ended", Job: "canceled", Outcome: "canceled", Reason: "canceled", Index: 7, Leading: true,
	}
	assert.DeepEqual(t, loggedOutcomes(t, true, commands...), []outcomeLine{failed, canceled})
}
