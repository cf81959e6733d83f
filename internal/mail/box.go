package mail

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// receiptTime is the longest time from an answer to the next report that shows the answer
// to have arrived: a worker that gets none waits a second before it reports elsewhere.
const receiptTime = 900 * time.Millisecond

// Box keeps each order until the worker's next report, and answers it from what the
// reports after that list. It is safe for concurrent use.
type Box struct {
	mu    sync.Mutex
	slots map[string]*slot
}

var _ mill.WorkerOrders = (*Box)(nil)

// New returns a box without orders.
func New() *Box {
	return &Box{slots: make(map[string]*slot)}
}

// slot holds the orders for one worker.
type slot struct {
	starts []*letter[*mill.StartOrder, mill.OrderReply]
	stops  []*letter[stopOrder, mill.OrderReply]
	renews []*letter[*mill.RenewOrder, mill.RenewReply]
	// latest is the newest report, and answered when it was answered.
	latest   mill.WorkerStatus
	answered time.Time
}

// letter is an order that waits for a report, and once handed out for the next one.
type letter[O, R any] struct {
	order  O
	handed bool
	reply  chan R
}

type stopOrder struct {
	run   mill.RunRef
	fence uint64
}

func newLetter[O, R any](order O) *letter[O, R] {
	return &letter[O, R]{order: order, reply: make(chan R, 1)}
}

// await returns the reply, or the zero one, which is unanswered, after taking the order back.
func await[O, R any](ctx context.Context, b *Box, l *letter[O, R], list func(s *slot) *[]*letter[O, R], worker string) R {
	b.mu.Lock()
	s := b.slot(worker)
	*list(s) = append(*list(s), l)
	b.mu.Unlock()

	var reply R

	select {
	case reply = <-l.reply:
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()

		*list(s) = slices.DeleteFunc(*list(s), func(other *letter[O, R]) bool { return other == l })
	}

	return reply
}

// Start hands a start out with the answer to the worker's next report.
func (b *Box) Start(ctx context.Context, to mill.WorkerRef, order *mill.StartOrder) mill.OrderReply {
	l := newLetter[*mill.StartOrder, mill.OrderReply](order)

	return await(ctx, b, l, func(s *slot) *[]*letter[*mill.StartOrder, mill.OrderReply] { return &s.starts }, to.ID)
}

// Stop hands a stop out with the answer to the worker's next report.
func (b *Box) Stop(ctx context.Context, to mill.WorkerRef, run mill.RunRef, fence uint64) mill.OrderReply {
	l := newLetter[stopOrder, mill.OrderReply](stopOrder{run: run, fence: fence})

	return await(ctx, b, l, func(s *slot) *[]*letter[stopOrder, mill.OrderReply] { return &s.stops }, to.ID)
}

// Renew waits for the worker's next report, returns what it lists, and renews with the answer.
func (b *Box) Renew(ctx context.Context, to mill.WorkerRef, order *mill.RenewOrder) mill.RenewReply {
	l := newLetter[*mill.RenewOrder, mill.RenewReply](order)

	return await(ctx, b, l, func(s *slot) *[]*letter[*mill.RenewOrder, mill.RenewReply] { return &s.renews }, to.ID)
}

// Pace leaves the order unanswered: answers to reports have no place for it.
func (*Box) Pace(context.Context, mill.WorkerRef, *mill.PaceOrder) mill.OrderReply {
	return mill.OrderReply{}
}

func (b *Box) slot(worker string) *slot {
	s, ok := b.slots[worker]
	if !ok {
		s = &slot{}
		b.slots[worker] = s
	}

	return s
}

// Answer returns the orders for a worker that has reported, or ErrInvalid for a
// report that came late, after a newer one.
func (b *Box) Answer(report *mill.WorkerReport, now time.Time) (*mill.OrderBatch, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	s := b.slot(report.Status.ID)
	if !s.answered.IsZero() && !report.Status.NewerThan(&s.latest) {
		return nil, merry.Prependf(mill.ErrInvalid, "report %d of %s came late", report.Status.Sequence, report.Status.ID)
	}

	s.resolve(report, now)

	sheet := s.handOut(report)
	s.latest = *report.Status
	s.answered = now

	return sheet, nil
}

// Forget drops what is kept for a worker that has ended.
func (b *Box) Forget(worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if s, ok := b.slots[worker]; ok && len(s.starts)+len(s.stops)+len(s.renews) == 0 {
		delete(b.slots, worker)
	}
}

// resolve answers the orders that were handed out with the answer to the last report.
func (s *slot) resolve(report *mill.WorkerReport, now time.Time) {
	sameLife := report.Status.StartUnixMilli == s.latest.StartUnixMilli
	received := sameLife && now.Sub(s.answered) < receiptTime

	s.starts = slices.DeleteFunc(s.starts, func(l *letter[*mill.StartOrder, mill.OrderReply]) bool {
		if l.handed {
			run := mill.RunRef{Task: l.order.Task, Run: l.order.Run}
			l.reply <- replyIf(report.Lists(run), report)
		}

		return l.handed
	})

	s.stops = slices.DeleteFunc(s.stops, func(l *letter[stopOrder, mill.OrderReply]) bool {
		if l.handed {
			l.reply <- replyIf(received, report)
		}

		return l.handed
	})
}

func replyIf(accepted bool, report *mill.WorkerReport) mill.OrderReply {
	if !accepted {
		return mill.OrderReply{}
	}

	return mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: report.Status.ClockMilli}
}

// handOut puts all orders that wait on a sheet; renewals are answered at once.
func (s *slot) handOut(report *mill.WorkerReport) *mill.OrderBatch {
	sheet := &mill.OrderBatch{}
	until := int64(0)

	for _, l := range s.renews {
		sheet.FencingToken = max(sheet.FencingToken, l.order.FencingToken)
		sheet.Acknowledged = max(sheet.Acknowledged, l.order.Acknowledged)
		until = max(until, l.order.LeaseExpiryMilli)
		l.reply <- mill.RenewReply{
			OrderReply:     replyIf(true, report),
			StartUnixMilli: report.Status.StartUnixMilli,
			Running:        report.Running,
			Finished:       report.Finished,
		}
	}

	s.renews = nil

	for _, l := range s.starts {
		l.handed = true
		sheet.FencingToken = max(sheet.FencingToken, l.order.FencingToken)
		until = max(until, l.order.LeaseExpiryMilli)
		sheet.Starts = append(sheet.Starts, *l.order)
	}

	for _, l := range s.stops {
		l.handed = true
		sheet.FencingToken = max(sheet.FencingToken, l.order.fence)
		sheet.Stops = append(sheet.Stops, l.order.run)
	}

	sheet.Lease = max(0, time.Duration(until-report.Status.ClockMilli)*time.Millisecond)

	return sheet
}
