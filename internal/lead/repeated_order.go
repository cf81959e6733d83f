package lead

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// repeatDelay is how long an order may stay unanswered before it is sent a second time, beside the first: several round
// trips between regions and a relay on the way. A start whose answer is lost delays its task by that instead of the timeout.
const repeatDelay = 150 * time.Millisecond

// repeatDelay returns how long an order may stay unanswered before it is sent a second time. Orders that wait to be
// delivered are not sent again: their answers are always late.
func (b *Bounds) repeatDelay() time.Duration {
	if b.MaxDeliveryDelay > 0 {
		return b.orderTimeout()
	}

	return repeatDelay
}

// repeater sends orders again that are not answered soon, within a budget.
type repeater struct {
	mutex  sync.Mutex
	budget plan.RepeatBudget
	// onRepeat is called before an order is sent again.
	onRepeat func()
}

func (p *repeater) recordOrder() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.budget.RecordOrder()
}

func (p *repeater) mayRepeat() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.budget.Spend()
}

// send makes a call, and makes it again if it has not returned after the delay. It returns when the first call has, and
// passes the reply to done, once: either before it returns, or when the second call returns.
func (p *repeater) send(
	ctx context.Context, delay time.Duration, call func(ctx context.Context) mill.RenewReply,
	done func(reply *mill.RenewReply, sentAt time.Time),
) {
	p.recordOrder()

	order := &repeatedOrder{call: call, done: done, open: 1}
	timer := time.AfterFunc(delay, func() {
		defer logPanic()

		if order.mayRepeat(p) {
			p.onRepeat()
			order.attempt(ctx)
		}
	})

	defer timer.Stop()

	order.attempt(ctx)
}

// repeatedOrder is an order of which up to two copies are under way. Orders are idempotent, so a worker that gets both
// carries them out once.
type repeatedOrder struct {
	call func(ctx context.Context) mill.RenewReply
	done func(reply *mill.RenewReply, sentAt time.Time)

	mutex sync.Mutex
	// open counts the calls that have not returned. sent says that one may have reached the worker.
	open     int
	repeated bool
	sent     bool
	settled  bool
}

// mayRepeat reports whether the order is sent again, and records that.
func (o *repeatedOrder) mayRepeat(p *repeater) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	if o.settled || !p.mayRepeat() {
		return false
	}

	o.open++
	o.repeated = true

	return true
}

func (o *repeatedOrder) attempt(ctx context.Context) {
	sentAt := time.Now()

	var reply mill.RenewReply // An order whose call panics is unanswered.

	defer func() {
		if o.settles(&reply) {
			o.done(&reply, sentAt)
		}
	}()

	reply = o.call(ctx)
}

// settles reports whether a reply is the order's result. Of two copies, one that was refused or not sent says nothing about
// the other, which may have been carried out or may yet be: unless one is accepted, or none was sent, the order counts as
// unanswered.
func (o *repeatedOrder) settles(reply *mill.RenewReply) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()

	o.open--
	o.sent = o.sent || !neverSent(reply.Outcome)

	switch {
	case o.settled:
		return false
	case !o.repeated || holdsForBoth(reply.Outcome):
	case o.open > 0:
		return false
	case o.sent:
		*reply = mill.RenewReply{}
	default:
	}

	o.settled = true

	return true
}

// holdsForBoth reports whether the outcome of one copy of an order is that of both.
func holdsForBoth(outcome mill.OrderOutcome) bool {
	switch outcome {
	case mill.OutcomeAccepted, mill.OutcomeFinished, mill.OutcomeWorkerReplaced:
		return true
	default:
		return false
	}
}

// neverSent reports whether an outcome means that the order has not reached the worker and will not.
func neverSent(outcome mill.OrderOutcome) bool {
	switch outcome {
	case mill.OutcomeUnreachable, mill.OutcomeNotListening, mill.OutcomeNotSent:
		return true
	default:
		return false
	}
}
