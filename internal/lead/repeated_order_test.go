package lead

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// scriptedReply is the reply to one copy of an order. With after 0 there is none.
type scriptedReply struct {
	after   time.Duration
	outcome mill.OrderOutcome
}

// TestRepeatedOrder guards against two faults: an order whose answer is lost is noticed only after its timeout, and the
// refusal of one copy is taken for that of another, which may be carried out, so that a task would run twice. An order of
// which nothing was sent must count as such, so that its task starts elsewhere at once.
func TestRepeatedOrder(t *testing.T) {
	const soon, late = 30 * time.Millisecond, 200 * time.Millisecond

	var (
		lost        scriptedReply
		accepted    = scriptedReply{soon, mill.OutcomeAccepted}
		full        = scriptedReply{soon, mill.OutcomeNoCapacity}
		notSent     = scriptedReply{soon, mill.OutcomeUnreachable}
		replaced    = scriptedReply{soon, mill.OutcomeWorkerReplaced}
		lateAccept  = scriptedReply{late, mill.OutcomeAccepted}
		lateRefusal = scriptedReply{late, mill.OutcomeUnhealthy}
		noPath      = scriptedReply{late, mill.OutcomeUnreachable}
	)

	for name, test := range map[string]repeatedOrderTest{
		"answered in time":            {[]scriptedReply{accepted}, 20, mill.OutcomeAccepted, soon},
		"refused in time":             {[]scriptedReply{full}, 20, mill.OutcomeNoCapacity, soon},
		"answer lost":                 {[]scriptedReply{lost, accepted}, 20, mill.OutcomeAccepted, repeatDelay + soon},
		"both lost":                   {[]scriptedReply{lost, lost}, 20, mill.OutcomeUnanswered, defaultOrderTimeout},
		"no budget":                   {[]scriptedReply{lost}, 0, mill.OutcomeUnanswered, defaultOrderTimeout},
		"late, copy accepted":         {[]scriptedReply{lateAccept, accepted}, 20, mill.OutcomeAccepted, repeatDelay + soon},
		"lost, copy refused":          {[]scriptedReply{lost, full}, 20, mill.OutcomeUnanswered, defaultOrderTimeout},
		"lost, copy not sent":         {[]scriptedReply{lost, notSent}, 20, mill.OutcomeUnanswered, defaultOrderTimeout},
		"late refusal, copy accepted": {[]scriptedReply{lateRefusal, lateAccept}, 20, mill.OutcomeAccepted, repeatDelay + late},
		"both refused":                {[]scriptedReply{lateRefusal, lateRefusal}, 20, mill.OutcomeUnanswered, repeatDelay + late},
		"neither sent":                {[]scriptedReply{noPath, noPath}, 20, mill.OutcomeUnreachable, repeatDelay + late},
		"late refusal, copy not sent": {[]scriptedReply{lateRefusal, noPath}, 20, mill.OutcomeUnanswered, repeatDelay + late},
		"lost, other worker answers":  {[]scriptedReply{lost, replaced}, 20, mill.OutcomeWorkerReplaced, repeatDelay + soon},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, test.play)
		})
	}
}

type repeatedOrderTest struct {
	// copies are the replies to the copies of the order, in the order in which they are sent.
	copies []scriptedReply
	// paid is the number of orders that have paid for repeats.
	paid int
	// want is the result, and after is when it is known.
	want  mill.OrderOutcome
	after time.Duration
}

func (test *repeatedOrderTest) play(t *testing.T) {
	t.Helper()

	var (
		calls   atomic.Int64
		results = make(chan mill.OrderOutcome, 2)
		took    = make(chan time.Duration, 2)
		begun   = time.Now()
		p       = &repeater{onRepeat: func() {}}
	)

	ctx, cancel := context.WithTimeout(t.Context(), defaultOrderTimeout)
	defer cancel()

	for range test.paid {
		p.recordOrder()
	}

	p.send(ctx, repeatDelay, func(ctx context.Context) mill.RenewReply {
		reply := test.copies[calls.Add(1)-1]

		if reply.after == 0 {
			<-ctx.Done()
		}

		time.Sleep(reply.after)

		return mill.RenewReply{OrderReply: mill.OrderReply{Outcome: reply.outcome}}
	}, func(reply *mill.RenewReply, _ time.Time) {
		results <- reply.Outcome

		took <- time.Since(begun)
	})
	time.Sleep(time.Second) // A copy that is still under way returns.
	synctest.Wait()

	assert.Equal(t, int(calls.Load()), len(test.copies))
	assert.Equal(t, len(results), 1)
	assert.Equal(t, <-results, test.want)
	assert.Equal(t, <-took, test.after)
}
