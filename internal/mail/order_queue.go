package mail

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// maxReportGap is the longest time between a reply and the next report for which the reply
// is known to have arrived: a worker that gets no reply waits a second before it reports
// elsewhere.
const maxReportGap = 900 * time.Millisecond

// OrderQueue keeps each order until the worker's next report, sends it in the reply, and takes its
// outcome from the report after that. It is safe for concurrent use.
type OrderQueue struct {
	mu      sync.Mutex
	workers map[string]*workerQueue
}

var _ mill.WorkerOrders = (*OrderQueue)(nil)

// New returns an empty queue.
func New() *OrderQueue {
	return &OrderQueue{workers: make(map[string]*workerQueue)}
}

// workerQueue holds the orders of one worker.
type workerQueue struct {
	starts []*pendingOrder[*mill.StartOrder, mill.OrderReply]
	stops  []*pendingOrder[stopOrder, mill.OrderReply]
	renews []*pendingOrder[*mill.RenewOrder, mill.RenewReply]
	// latest is the status in the newest report, and answeredAt when that was answered.
	latest     mill.WorkerStatus
	answeredAt time.Time
}

// pendingOrder is an order that waits for a report, and once sent, for the next one.
type pendingOrder[O, R any] struct {
	order O
	sent  bool
	reply chan R
}

type stopOrder struct {
	run          mill.RunRef
	fencingToken uint64
}

func newPendingOrder[O, R any](order O) *pendingOrder[O, R] {
	return &pendingOrder[O, R]{order: order, reply: make(chan R, 1)}
}

// await queues the order and returns the reply to it. When the context ends, it withdraws the
// order and returns the zero reply, which stands for an unanswered order.
func await[O, R any](
	ctx context.Context, q *OrderQueue, pending *pendingOrder[O, R],
	list func(w *workerQueue) *[]*pendingOrder[O, R], worker string,
) R {
	q.mu.Lock()
	w := q.workerQueue(worker)
	*list(w) = append(*list(w), pending)
	q.mu.Unlock()

	var reply R

	select {
	case reply = <-pending.reply:
	case <-ctx.Done():
		q.mu.Lock()
		defer q.mu.Unlock()

		*list(w) = slices.DeleteFunc(*list(w), func(other *pendingOrder[O, R]) bool { return other == pending })
	}

	return reply
}

// Start sends a start order in the reply to the worker's next report.
func (q *OrderQueue) Start(ctx context.Context, to mill.WorkerRef, order *mill.StartOrder) mill.OrderReply {
	pending := newPendingOrder[*mill.StartOrder, mill.OrderReply](order)

	return await(ctx, q, pending,
		func(w *workerQueue) *[]*pendingOrder[*mill.StartOrder, mill.OrderReply] { return &w.starts }, to.ID)
}

// Stop sends a stop order in the reply to the worker's next report.
func (q *OrderQueue) Stop(ctx context.Context, to mill.WorkerRef, run mill.RunRef, fencingToken uint64) mill.OrderReply {
	pending := newPendingOrder[stopOrder, mill.OrderReply](stopOrder{run: run, fencingToken: fencingToken})

	return await(ctx, q, pending, func(w *workerQueue) *[]*pendingOrder[stopOrder, mill.OrderReply] { return &w.stops }, to.ID)
}

// Renew waits for the worker's next report, returns the runs that it lists, and renews the lease
// in the reply.
func (q *OrderQueue) Renew(ctx context.Context, to mill.WorkerRef, order *mill.RenewOrder) mill.RenewReply {
	pending := newPendingOrder[*mill.RenewOrder, mill.RenewReply](order)

	return await(ctx, q, pending,
		func(w *workerQueue) *[]*pendingOrder[*mill.RenewOrder, mill.RenewReply] { return &w.renews }, to.ID)
}

// Pace leaves the order unanswered: replies to reports have no field for it.
func (*OrderQueue) Pace(context.Context, mill.WorkerRef, *mill.PaceOrder) mill.OrderReply {
	return mill.OrderReply{}
}

func (q *OrderQueue) workerQueue(worker string) *workerQueue {
	w, ok := q.workers[worker]
	if !ok {
		w = &workerQueue{}
		q.workers[worker] = w
	}

	return w
}

// HandleReport returns the orders for a worker that has reported, or ErrInvalid for an outdated
// report, which arrived after a newer one.
func (q *OrderQueue) HandleReport(report *mill.WorkerReport, now time.Time) (*mill.OrderBatch, error) {
	q.mu.Lock()
	defer q.mu.Unlock()

	w := q.workerQueue(report.Status.ID)
	if !w.answeredAt.IsZero() && !report.Status.NewerThan(&w.latest) {
		return nil, merry.Prependf(mill.ErrInvalid, "report %d of worker %s arrived after a newer one",
			report.Status.Sequence, report.Status.ID)
	}

	w.resolveSent(report, now)

	batch := w.buildBatch(report)
	w.latest = *report.Status
	w.answeredAt = now

	return batch, nil
}

// Forget deletes the queue of a worker that has shut down, unless orders are pending in it.
func (q *OrderQueue) Forget(worker string) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if w, ok := q.workers[worker]; ok && len(w.starts)+len(w.stops)+len(w.renews) == 0 {
		delete(q.workers, worker)
	}
}

// resolveSent completes the orders that were sent in the reply to the previous report.
func (w *workerQueue) resolveSent(report *mill.WorkerReport, now time.Time) {
	sameIncarnation := report.Status.StartUnixMilli == w.latest.StartUnixMilli
	received := sameIncarnation && now.Sub(w.answeredAt) < maxReportGap

	w.starts = slices.DeleteFunc(w.starts, func(pending *pendingOrder[*mill.StartOrder, mill.OrderReply]) bool {
		if pending.sent {
			run := mill.RunRef{Task: pending.order.Task, Run: pending.order.Run}
			pending.reply <- replyIf(report.Lists(run), report)
		}

		return pending.sent
	})

	w.stops = slices.DeleteFunc(w.stops, func(pending *pendingOrder[stopOrder, mill.OrderReply]) bool {
		if pending.sent {
			pending.reply <- replyIf(received, report)
		}

		return pending.sent
	})
}

func replyIf(accepted bool, report *mill.WorkerReport) mill.OrderReply {
	if !accepted {
		return mill.OrderReply{}
	}

	return mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: report.Status.ClockMilli}
}

// buildBatch returns all pending orders and marks them as sent. Renewals are completed at once.
func (w *workerQueue) buildBatch(report *mill.WorkerReport) *mill.OrderBatch {
	batch := &mill.OrderBatch{}
	leaseExpiryMilli := int64(0)

	for _, pending := range w.renews {
		batch.FencingToken = max(batch.FencingToken, pending.order.FencingToken)
		batch.Acknowledged = max(batch.Acknowledged, pending.order.Acknowledged)
		leaseExpiryMilli = max(leaseExpiryMilli, pending.order.LeaseExpiryMilli)
		pending.reply <- mill.RenewReply{
			OrderReply:     replyIf(true, report),
			StartUnixMilli: report.Status.StartUnixMilli,
			Running:        report.Running,
			Finished:       report.Finished,
		}
	}

	w.renews = nil

	// The ends to acknowledge are those of the list before, which another incarnation has sent.
	if report.Status.StartUnixMilli != w.latest.StartUnixMilli {
		batch.Acknowledged = 0
	}

	for _, pending := range w.starts {
		pending.sent = true
		batch.FencingToken = max(batch.FencingToken, pending.order.FencingToken)
		leaseExpiryMilli = max(leaseExpiryMilli, pending.order.LeaseExpiryMilli)
		batch.Starts = append(batch.Starts, *pending.order)
	}

	for _, pending := range w.stops {
		pending.sent = true
		batch.FencingToken = max(batch.FencingToken, pending.order.fencingToken)
		batch.Stops = append(batch.Stops, pending.order.run)
	}

	batch.Lease = max(0, time.Duration(leaseExpiryMilli-report.Status.ClockMilli)*time.Millisecond)

	return batch
}
