package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// BenchmarkNextOverdue measures one plan on a pool in which every second worker is full and the others have room, while jobs
// that have had nothing running for long wait for the full ones: the others have another label, or the advisor refuses them.
func BenchmarkNextOverdue(b *testing.B) {
	for _, queue := range []string{"free", "advised"} {
		b.Run(queue, func(b *testing.B) { benchmarkOverdue(b, queue, 350, 600, 49) })
	}
}

// BenchmarkNextBacklog measures one plan with 4,400 workers and 5,000 waiting steps: on a full pool, on one in which every
// second worker is full (see BenchmarkNextOverdue), and on an idle one while the steps wait for an advisor.
func BenchmarkNextBacklog(b *testing.B) {
	const workers, waiting, callers = 4400, 5000, 150

	b.Run("full", func(b *testing.B) { benchmarkFull(b, workers, waiting) })
	b.Run("asking", func(b *testing.B) { benchmarkAsking(b, workers, waiting, callers) })

	for _, queue := range []string{"free", "advised"} {
		b.Run("overdue="+queue, func(b *testing.B) { benchmarkOverdue(b, queue, workers, waiting, callers) })
	}
}

func benchmarkOverdue(b *testing.B, queue string, workers, waiting, callers int) {
	b.Helper()

	state, scheduler := benchmarkPool(workers)
	now := simStart

	for i := range callers {
		scheduler.AdvisorReachable(fmt.Sprintf("front%d", i), now)
	}

	for i, w := range scheduler.workersByID() {
		if i%2 == 0 {
			w.status.Labels = []string{"full"}
		}
	}

	submit := func(id, queue string, step mill.Step) {
		step.Estimate = time.Minute
		work := mill.Workload{Steps: []mill.Step{step}}
		state.Apply(&jobs.Command{Submit: &jobs.Submit{Job: id, Queue: queue, UnixMilli: now.UnixMilli(), Work: work}})
	}

	submit("full", "free", mill.Step{Count: workers / 2, Label: "full", PerTask: mill.Resources{MilliCores: simCapacity}})
	benchmarkCommit(state, scheduler, now)

	label := "full"
	if queue == "advised" {
		label = ""
	}

	for i := range waiting {
		submit(fmt.Sprintf("wait%d", i), queue, mill.Step{
			Count: 10, Label: label, PerTask: mill.Resources{MilliCores: simCapacity / 8},
		})
	}

	// Until the advisor has answered about all workers.
	for range 250 {
		now = now.Add(20 * time.Millisecond)
		benchmarkReport(scheduler, now)

		for _, request := range benchmarkCommit(state, scheduler, now).AdviceRequests {
			scheduler.AdviceAnswered(&request, benchmarkAdvice(scheduler, &request), now)
		}
	}

	b.ReportAllocs()

	for b.Loop() {
		scheduler.Next(now, now.UnixMilli(), state)
	}
}

// benchmarkCommit plans, and commits what was planned.
func benchmarkCommit(state *jobs.State, scheduler *Scheduler, now time.Time) Actions {
	actions := scheduler.Next(now, now.UnixMilli(), state)
	results := make([]jobs.Result, 0, len(actions.Commands))

	for i := range actions.Commands {
		results = append(results, state.Apply(&actions.Commands[i]))
	}

	scheduler.Committed(actions.Commands, results, nil, now)

	return actions
}

// benchmarkReport has all workers and addresses report.
func benchmarkReport(scheduler *Scheduler, now time.Time) {
	for _, w := range scheduler.workersByID() {
		w.lastHeard, w.statusSentAt = now, now
	}

	for address := range scheduler.advisorAddresses {
		scheduler.AdvisorReachable(address, now)
	}
}

// benchmarkAdvice allows the full workers of a request.
func benchmarkAdvice(scheduler *Scheduler, request *AdviceRequest) *mill.Advice {
	advice := &mill.Advice{Validity: simValidity}

	for _, id := range request.Workers {
		if scheduler.workers[id].status.HasLabel("full") {
			advice.Tickets = append(advice.Tickets, mill.Ticket{Worker: id, Text: "t"})
		}
	}

	return advice
}
