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

// lane holds the upstreams of one service and the requests that wait for a slot.
type lane struct {
	service   string
	mu        sync.Mutex
	router    mill.Router
	upstreams []*upstream
	waiting   *list.List
	capacity  int
}

// ticket is one request that waits for a slot.
type ticket struct {
	avoid   *upstream
	granted chan *upstream
}

func newLane(service string, router mill.Router, capacity int) *lane {
	return &lane{service: service, router: router, waiting: list.New(), capacity: capacity}
}

// acquire takes a slot, or waits for one until the context ends. It refuses at
// once when the ring is full or the wait is longer than the time that is left.
func (l *lane) acquire(ctx context.Context, deadline time.Time, avoid *upstream) (*upstream, error) {
	l.mu.Lock()

	if l.slots() == 0 {
		l.mu.Unlock()

		return nil, mill.ErrNoUpstream
	}

	if u := l.choose(avoid); u != nil && l.waiting.Len() == 0 {
		u.busy++
		l.mu.Unlock()

		return u, nil
	}

	if err := l.refuse(deadline); err != nil {
		l.mu.Unlock()

		return nil, err
	}

	t := &ticket{avoid: avoid, granted: make(chan *upstream, 1)}
	place := l.waiting.PushBack(t)
	l.mu.Unlock()

	select {
	case u := <-t.granted:
		return u, nil
	case <-ctx.Done():
		return l.giveUp(place, t)
	}
}

// giveUp leaves the ring, unless a slot was granted at that moment.
func (l *lane) giveUp(place *list.Element, t *ticket) (*upstream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	select {
	case u := <-t.granted:
		return u, nil
	default:
		l.waiting.Remove(place)

		return nil, merry.Prepend(mill.ErrFull, "no slot within the deadline", merry.NoCaptureStack())
	}
}

// release gives a slot back and serves who waits.
func (l *lane) release(u *upstream, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	u.busy--

	if took > 0 {
		u.observe(took)
	}

	l.serve()
}

// minHold is how long the slot of a broken exchange stays taken at the least.
const minHold = 100 * time.Millisecond

// releaseLater gives the slot of a broken exchange back after a while, limit at
// the most: a connection that broke does not prove that the upstream stopped
// working on the request.
func (l *lane) releaseLater(u *upstream, limit time.Duration) {
	l.mu.Lock()
	hold := min(max(2*u.mean, minHold), limit)
	l.mu.Unlock()

	time.AfterFunc(hold, func() { l.release(u, 0) })
}

// update changes the upstreams and serves who waits.
func (l *lane) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()

	change()
	l.serve()
}

func (l *lane) serve() {
	for l.waiting.Len() > 0 {
		place := l.waiting.Front()
		t := place.Value.(*ticket)

		u := l.choose(t.avoid)
		if u == nil {
			return
		}

		u.busy++

		l.waiting.Remove(place)
		t.granted <- u
	}
}

// choose returns an upstream with a free slot; the one to avoid counts only
// when there is no other.
func (l *lane) choose(avoid *upstream) *upstream {
	candidates := make([]mill.Candidate, 0, len(l.upstreams))
	eligible := make([]*upstream, 0, len(l.upstreams))

	for _, u := range l.upstreams {
		if u.leaving || (u == avoid && len(l.upstreams) > 1) {
			continue
		}

		eligible = append(eligible, u)
		candidates = append(candidates, mill.Candidate{
			ID: u.told.ID, Busy: u.busy, Slots: u.share, MeanTime: u.mean,
		})
	}

	at := l.router.Choose(candidates, rand.Uint64())
	if at < 0 {
		return nil
	}

	return eligible[at]
}

// refuse estimates the wait from the mean time and the slots.
func (l *lane) refuse(deadline time.Time) error {
	if l.waiting.Len() >= l.capacity {
		return merry.Prepend(mill.ErrFull, "too many requests wait", merry.NoCaptureStack())
	}

	var sum time.Duration
	for _, u := range l.upstreams {
		sum += u.mean
	}

	mean := sum / time.Duration(len(l.upstreams))
	wait := mean * time.Duration(l.waiting.Len()) / time.Duration(l.slots())

	if wait+mean > time.Until(deadline) {
		return merry.Prepend(mill.ErrFull, "the wait is longer than the deadline", merry.NoCaptureStack())
	}

	return nil
}

func (l *lane) slots() int {
	slots := 0

	for _, u := range l.upstreams {
		if !u.leaving {
			slots += u.share
		}
	}

	return slots
}

// unused reports whether no request is in flight to the upstream.
func (l *lane) unused(u *upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return u.busy == 0 && u.watchers == 0
}

// busy returns the slots in use and the requests that wait.
func (l *lane) busy() (inUse, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, u := range l.upstreams {
		inUse += u.busy
	}

	return inUse, l.waiting.Len()
}
