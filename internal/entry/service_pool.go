package entry

import (
	"container/list"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// servicePool holds the upstreams of a service and the requests that wait for a slot.
type servicePool struct {
	service       string
	mu            sync.Mutex
	router        mill.Router
	upstreams     []*upstream
	waiters       *list.List
	queueCapacity int
}

// waiter is a request that waits for a slot.
type waiter struct {
	avoid   *upstream
	granted chan *upstream
}

func newServicePool(service string, router mill.Router, capacity int) *servicePool {
	return &servicePool{service: service, router: router, waiters: list.New(), queueCapacity: capacity}
}

// acquire takes a slot, or waits for one until the context ends. It fails at once if the queue is full
// or the expected wait exceeds the deadline.
func (p *servicePool) acquire(ctx context.Context, deadline time.Time, avoid *upstream) (*upstream, error) {
	p.mu.Lock()

	if p.slots() == 0 {
		p.mu.Unlock()

		return nil, mill.ErrNoUpstream
	}

	if u := p.choose(avoid); u != nil && p.waiters.Len() == 0 {
		u.busy++
		p.mu.Unlock()

		return u, nil
	}

	if err := p.checkWait(deadline); err != nil {
		p.mu.Unlock()

		return nil, err
	}

	w := &waiter{avoid: avoid, granted: make(chan *upstream, 1)}
	element := p.waiters.PushBack(w)
	p.mu.Unlock()

	select {
	case u := <-w.granted:
		return u, nil
	case <-ctx.Done():
		return p.leaveQueue(element, w)
	}
}

// leaveQueue removes the waiter from the queue, unless a slot has been granted in the meantime.
func (p *servicePool) leaveQueue(element *list.Element, w *waiter) (*upstream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	select {
	case u := <-w.granted:
		return u, nil
	default:
		p.waiters.Remove(element)

		return nil, merry.Prepend(mill.ErrFull, "no free slot within the deadline", merry.NoCaptureStack())
	}
}

// release returns a slot and grants free slots to waiters. took is the duration of the exchange for
// the mean time, or 0 to leave the mean time as it is.
func (p *servicePool) release(u *upstream, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	u.busy--

	if took > 0 {
		u.observeTime(took)
	}

	p.grantSlots()
}

// minHold is the minimum time for which the slot of a failed exchange stays in use.
const minHold = 100 * time.Millisecond

// releaseLater returns the slot of a failed exchange after a delay of at most limit: a broken
// connection does not prove that the upstream has stopped working on the request.
func (p *servicePool) releaseLater(u *upstream, limit time.Duration) {
	p.mu.Lock()
	hold := min(max(2*u.meanTime, minHold), limit)
	p.mu.Unlock()

	time.AfterFunc(hold, func() { p.release(u, 0) })
}

// update changes the upstreams and grants free slots to waiters.
func (p *servicePool) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()

	change()
	p.grantSlots()
}

func (p *servicePool) grantSlots() {
	for p.waiters.Len() > 0 {
		element := p.waiters.Front()
		w := element.Value.(*waiter)

		u := p.choose(w.avoid)
		if u == nil {
			return
		}

		u.busy++

		p.waiters.Remove(element)
		w.granted <- u
	}
}

// choose returns an upstream with a free slot, or nil. It returns the one to avoid only if the
// service has no other.
func (p *servicePool) choose(avoid *upstream) *upstream {
	candidates := make([]mill.Candidate, 0, len(p.upstreams))
	eligible := make([]*upstream, 0, len(p.upstreams))

	for _, u := range p.upstreams {
		if u.removed || (u == avoid && len(p.upstreams) > 1) {
			continue
		}

		eligible = append(eligible, u)
		candidates = append(candidates, mill.Candidate{
			ID: u.announcement.ID, Busy: u.busy, Slots: u.slotShare, MeanTime: u.meanTime,
		})
	}

	at := p.router.Choose(candidates, rand.Uint64())
	if at < 0 {
		return nil
	}

	return eligible[at]
}

// checkWait returns ErrFull if the queue is full, or if the wait estimated from the mean response time
// and the number of slots exceeds the deadline.
func (p *servicePool) checkWait(deadline time.Time) error {
	if p.waiters.Len() >= p.queueCapacity {
		return merry.Prepend(mill.ErrFull, "too many requests are waiting", merry.NoCaptureStack())
	}

	var sum time.Duration
	for _, u := range p.upstreams {
		sum += u.meanTime
	}

	mean := sum / time.Duration(len(p.upstreams))
	wait := mean * time.Duration(p.waiters.Len()) / time.Duration(p.slots())

	if wait+mean > time.Until(deadline) {
		return merry.Prepend(mill.ErrFull, "the expected wait exceeds the deadline", merry.NoCaptureStack())
	}

	return nil
}

func (p *servicePool) slots() int {
	slots := 0

	for _, u := range p.upstreams {
		if !u.removed {
			slots += u.slotShare
		}
	}

	return slots
}

// isIdle reports whether no request or watcher is using the upstream.
func (p *servicePool) isIdle(u *upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return u.busy == 0 && u.watchers == 0
}

// usage returns the number of slots in use and of waiting requests.
func (p *servicePool) usage() (inUse, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, u := range p.upstreams {
		inUse += u.busy
	}

	return inUse, p.waiters.Len()
}
