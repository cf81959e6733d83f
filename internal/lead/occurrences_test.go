package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestOccurrences runs a repeated job whose occurrences overlap, and expects each
// to start when it is due, not before, and the job to complete with the last.
func TestOccurrences(t *testing.T) {
	sim := newSimulation(t, nil, 2)

	const duration = 700 * time.Millisecond

	work := mill.Workload{
		Spec:   "repeated",
		Steps:  []mill.Step{{Count: 2, PerTask: mill.Resources{MilliCores: 100}, Estimate: duration}},
		Repeat: mill.Repeat{Times: 3, FirstUnixMilli: sim.now.Add(time.Second).UnixMilli(), Interval: 500 * time.Millisecond},
	}
	sim.specs["repeated"] = &jobSpec{work: work, queue: "free", duration: duration}
	sim.state.Apply(&jobs.Command{Submit: &jobs.Submit{
		Job: "repeated", Queue: "free", Work: work, UnixMilli: sim.now.UnixMilli(), Route: sim.route("free"),
	}})

	started := make(map[int]time.Duration)

	for range 400 {
		sim.step()

		for _, e := range sim.executors {
			for task := range e.running {
				if _, ok := started[task.Occurrence]; !ok {
					started[task.Occurrence] = sim.elapsed()
				}
			}
		}
	}

	assert.Equal(t, len(started), 3)

	for number, at := range started {
		due := time.Second + time.Duration(number)*500*time.Millisecond
		assert.Assert(t, at >= due, "occurrence %d starts at %s, due %s", number, at, due)
		assert.Assert(t, at < due+300*time.Millisecond, "occurrence %d starts at %s, due %s", number, at, due)
	}

	job, _ := sim.state.Job("repeated")
	assert.Equal(t, job.State(), mill.JobCompleted)
}
