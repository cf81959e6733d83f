package mail

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

var (
	to     = mill.WorkerRef{ID: "w"}
	task   = mill.TaskID{StepID: mill.StepID{Job: "job"}}
	noon   = time.Unix(1_800_000_000, 0)
	aStart = &mill.StartOrder{Task: task, Run: 1, LeaseExpiryMilli: 5000, FencingToken: 7}
)

// reporter plays a worker that reports.
type reporter struct {
	t        *testing.T
	box      *Box
	now      time.Time
	sequence uint64
	born     int64
}

func newReporter(t *testing.T) *reporter {
	return &reporter{t: t, box: New(), now: noon}
}

// report sends one report after a pause and returns the orders in the answer.
func (r *reporter) report(pause time.Duration, report mill.WorkerReport) *mill.OrderBatch {
	r.t.Helper()

	r.now = r.now.Add(pause)
	r.sequence++
	report.Status = &mill.WorkerStatus{ID: "w", Sequence: r.sequence, StartUnixMilli: r.born, ClockMilli: 1000}

	sheet, err := r.box.Answer(&report, r.now)
	assert.NilError(r.t, err)

	return sheet
}

// given runs an order on a goroutine and returns once the box has it.
func given[R any](r *reporter, order func(ctx context.Context) R) <-chan R {
	before := r.waiting()
	reply := make(chan R, 1)

	go func() { reply <- order(context.Background()) }()

	for r.waiting() == before {
		time.Sleep(time.Millisecond)
	}

	return reply
}

func (r *reporter) waiting() int {
	r.box.mu.Lock()
	defer r.box.mu.Unlock()

	s := r.box.slot("w")

	return len(s.starts) + len(s.stops) + len(s.renews)
}

func (r *reporter) start() <-chan mill.OrderReply {
	return given(r, func(ctx context.Context) mill.OrderReply { return r.box.Start(ctx, to, aStart) })
}

func (r *reporter) stop() <-chan mill.OrderReply {
	return given(r, func(ctx context.Context) mill.OrderReply {
		return r.box.Stop(ctx, to, mill.RunRef{Task: task, Run: 1}, 8)
	})
}

// TestStartIsConfirmedByTheNextReport expects a start to be handed out once, with a
// lease, and to be accepted when the next report lists the run.
func TestStartIsConfirmedByTheNextReport(t *testing.T) {
	r := newReporter(t)
	reply := r.start()

	sheet := r.report(0, mill.WorkerReport{})
	assert.Equal(t, len(sheet.Starts), 1)
	assert.Equal(t, sheet.FencingToken, uint64(7))
	assert.Equal(t, sheet.Lease, 4*time.Second)

	sheet = r.report(200*time.Millisecond, mill.WorkerReport{
		Running: []mill.RunStatus{{RunRef: mill.RunRef{Task: task, Run: 1}}},
	})
	assert.Equal(t, len(sheet.Starts), 0)
	assert.Equal(t, (<-reply).Outcome, mill.OutcomeAccepted)
}

// TestStartThatIsNotListedIsUnanswered expects a start whose answer may have been lost,
// or that may still be carried out, to stay open.
func TestStartThatIsNotListedIsUnanswered(t *testing.T) {
	r := newReporter(t)
	reply := r.start()

	r.report(0, mill.WorkerReport{})
	r.report(1500*time.Millisecond, mill.WorkerReport{})
	assert.Equal(t, (<-reply).Outcome, mill.OutcomeUnanswered)
}

// TestStopIsConfirmedByAPromptReport expects a stop to count once the answer that held it
// has certainly arrived.
func TestStopIsConfirmedByAPromptReport(t *testing.T) {
	r := newReporter(t)

	reply := r.stop()
	assert.Equal(t, len(r.report(0, mill.WorkerReport{}).Stops), 1)
	r.report(1200*time.Millisecond, mill.WorkerReport{})
	assert.Equal(t, (<-reply).Outcome, mill.OutcomeUnanswered, "the worker may have waited for a lost answer")

	reply = r.stop()
	r.report(0, mill.WorkerReport{})
	r.report(200*time.Millisecond, mill.WorkerReport{})
	assert.Equal(t, (<-reply).Outcome, mill.OutcomeAccepted)

	reply = r.stop()
	r.report(0, mill.WorkerReport{})

	r.born++
	r.report(200*time.Millisecond, mill.WorkerReport{})
	assert.Equal(t, (<-reply).Outcome, mill.OutcomeUnanswered, "another life has not seen the stop")
}

// TestRenewalReadsTheReport expects a renewal to return the lists of the next report, and
// to acknowledge ends with its answer.
func TestRenewalReadsTheReport(t *testing.T) {
	r := newReporter(t)
	reply := given(r, func(ctx context.Context) mill.RenewReply {
		return r.box.Renew(ctx, to, &mill.RenewOrder{FencingToken: 7, Acknowledged: 3, LeaseExpiryMilli: 5000})
	})

	sheet := r.report(0, mill.WorkerReport{Finished: []mill.FinishedRun{{Number: 4}}})
	assert.Equal(t, sheet.Acknowledged, uint64(3))
	assert.Equal(t, sheet.Lease, 4*time.Second)
	assert.Equal(t, (<-reply).Finished[0].Number, uint64(4))
}

// TestOrderIsTakenBack expects an order that nobody waits for any more not to be handed out.
func TestOrderIsTakenBack(t *testing.T) {
	r := newReporter(t)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, r.box.Start(ctx, to, aStart).Outcome, mill.OutcomeUnanswered)
	assert.Equal(t, len(r.report(0, mill.WorkerReport{}).Starts), 0)
}

// TestLateReportChangesNothing expects a report that was overtaken to get no orders.
func TestLateReportChangesNothing(t *testing.T) {
	r := newReporter(t)
	r.report(0, mill.WorkerReport{})
	r.report(0, mill.WorkerReport{})
	r.start()

	late := &mill.WorkerReport{Status: &mill.WorkerStatus{ID: "w", Sequence: 1}}
	_, err := r.box.Answer(late, r.now)
	assert.ErrorIs(t, err, mill.ErrInvalid)
	assert.Equal(t, r.waiting(), 1)
}
