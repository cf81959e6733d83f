package mail

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

var (
	workerRef  = mill.WorkerRef{ID: "w"}
	task       = mill.TaskID{StepID: mill.StepID{Job: "job"}}
	baseTime   = time.Unix(1_800_000_000, 0)
	startOrder = &mill.StartOrder{Task: task, Run: 1, LeaseExpiryMilli: 5000, FencingToken: 7}
)

// fakeWorker simulates a worker that reports.
type fakeWorker struct {
	t           *testing.T
	queue       *OrderQueue
	now         time.Time
	sequence    uint64
	incarnation int64
}

func newFakeWorker(t *testing.T) *fakeWorker {
	return &fakeWorker{t: t, queue: New(), now: baseTime}
}

// report sends one report after a pause and returns the orders in the reply.
func (f *fakeWorker) report(pause time.Duration, report mill.WorkerReport) *mill.OrderBatch {
	f.t.Helper()

	f.now = f.now.Add(pause)
	f.sequence++
	report.Status = &mill.WorkerStatus{ID: "w", Sequence: f.sequence, StartUnixMilli: f.incarnation, ClockMilli: 1000}

	batch, err := f.queue.HandleReport(&report, f.now)
	assert.NilError(f.t, err)

	return batch
}

// issue issues an order on a goroutine and returns once it is pending.
func issue[R any](f *fakeWorker, order func(ctx context.Context) R) <-chan R {
	before := f.pendingCount()
	reply := make(chan R, 1)

	go func() { reply <- order(context.Background()) }()

	for f.pendingCount() == before {
		time.Sleep(time.Millisecond)
	}

	return reply
}

func (f *fakeWorker) pendingCount() int {
	f.queue.mu.Lock()
	defer f.queue.mu.Unlock()

	w := f.queue.workerQueue("w")

	return len(w.starts) + len(w.stops) + len(w.renews)
}

func (f *fakeWorker) start() <-chan mill.OrderReply {
	return issue(f, func(ctx context.Context) mill.OrderReply { return f.queue.Start(ctx, workerRef, startOrder) })
}

func (f *fakeWorker) stop() <-chan mill.OrderReply {
	return issue(f, func(ctx context.Context) mill.OrderReply {
		return f.queue.Stop(ctx, workerRef, mill.RunRef{Task: task, Run: 1}, 8)
	})
}

// TestStartIsConfirmedByTheNextReport checks that a start order is sent once, with a lease, and
// is accepted when the next report lists the run.
func TestStartIsConfirmedByTheNextReport(t *testing.T) {
	worker := newFakeWorker(t)
	reply := worker.start()

	batch := worker.report(0, mill.WorkerReport{})
	assert.Equal(t, len(batch.Starts), 1)
	assert.Equal(t, batch.FencingToken, uint64(7))
	assert.Equal(t, batch.Lease, 4*time.Second)

	batch = worker.report(200*time.Millisecond, mill.WorkerReport{
		Running: []mill.RunStatus{{RunRef: mill.RunRef{Task: task, Run: 1}}},
	})
	assert.Equal(t, len(batch.Starts), 0)
	assert.Equal(t, (<-reply).Outcome, mill.OutcomeAccepted)
}

// TestStartThatIsNotListedIsUnanswered checks that a start order stays unanswered if the reply
// with it may have been lost, or if it may still be executed.
func TestStartThatIsNotListedIsUnanswered(t *testing.T) {
	worker := newFakeWorker(t)
	reply := worker.start()

	worker.report(0, mill.WorkerReport{})
	worker.report(1500*time.Millisecond, mill.WorkerReport{})
	assert.Equal(t, (<-reply).Outcome, mill.OutcomeUnanswered)
}

// TestStopIsConfirmedByAPromptReport checks that a stop order is accepted only if the reply with it
// has certainly arrived.
func TestStopIsConfirmedByAPromptReport(t *testing.T) {
	worker := newFakeWorker(t)

	reply := worker.stop()
	assert.Equal(t, len(worker.report(0, mill.WorkerReport{}).Stops), 1)
	worker.report(1200*time.Millisecond, mill.WorkerReport{})
	assert.Equal(t, (<-reply).Outcome, mill.OutcomeUnanswered, "the worker may have waited for a lost reply")

	reply = worker.stop()
	worker.report(0, mill.WorkerReport{})
	worker.report(200*time.Millisecond, mill.WorkerReport{})
	assert.Equal(t, (<-reply).Outcome, mill.OutcomeAccepted)

	reply = worker.stop()
	worker.report(0, mill.WorkerReport{})

	worker.incarnation++
	worker.report(200*time.Millisecond, mill.WorkerReport{})
	assert.Equal(t, (<-reply).Outcome, mill.OutcomeUnanswered, "a new incarnation has not seen the stop")
}

// TestRenewalReadsTheReport checks that a renewal returns the lists of the next report, and
// acknowledges finished runs in the reply.
func TestRenewalReadsTheReport(t *testing.T) {
	worker := newFakeWorker(t)
	reply := issue(worker, func(ctx context.Context) mill.RenewReply {
		return worker.queue.Renew(ctx, workerRef, &mill.RenewOrder{FencingToken: 7, Acknowledged: 3, LeaseExpiryMilli: 5000})
	})

	batch := worker.report(0, mill.WorkerReport{Finished: []mill.FinishedRun{{Number: 4}}})
	assert.Equal(t, batch.Acknowledged, uint64(3))
	assert.Equal(t, batch.Lease, 4*time.Second)
	assert.Equal(t, (<-reply).Finished[0].Number, uint64(4))
}

// TestCanceledOrderIsNotSent checks that an order whose caller has given up is not sent.
func TestCanceledOrderIsNotSent(t *testing.T) {
	worker := newFakeWorker(t)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, worker.queue.Start(ctx, workerRef, startOrder).Outcome, mill.OutcomeUnanswered)
	assert.Equal(t, len(worker.report(0, mill.WorkerReport{}).Starts), 0)
}

// TestLateReportChangesNothing checks that a report that arrives after a newer one gets no orders.
func TestLateReportChangesNothing(t *testing.T) {
	worker := newFakeWorker(t)
	worker.report(0, mill.WorkerReport{})
	worker.report(0, mill.WorkerReport{})
	worker.start()

	late := &mill.WorkerReport{Status: &mill.WorkerStatus{ID: "w", Sequence: 1}}
	_, err := worker.queue.HandleReport(late, worker.now)
	assert.ErrorIs(t, err, mill.ErrInvalid)
	assert.Equal(t, worker.pendingCount(), 1)
}

// TestNextIncarnationIsAcknowledgedNothing guards against an acknowledgement that goes to a worker which has restarted since
// the list that it is for, and has numbered its ends anew.
func TestNextIncarnationIsAcknowledgedNothing(t *testing.T) {
	for incarnation, want := range map[int64]uint64{1: 3, 2: 0} {
		f := newFakeWorker(t)
		f.incarnation = 1
		f.report(0, mill.WorkerReport{})

		issue(f, func(ctx context.Context) mill.RenewReply {
			return f.queue.Renew(ctx, workerRef, &mill.RenewOrder{Acknowledged: 3})
		})

		f.incarnation = incarnation
		assert.Equal(t, f.report(time.Second, mill.WorkerReport{}).Acknowledged, want)
	}
}
