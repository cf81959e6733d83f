package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// forgetTime is how long an upstream lives without an announcement.
	forgetTime = 3 * time.Second
	// departedTime is how long a leave is remembered, so that an announcement
	// that was under way does not bring the upstream back.
	departedTime = 10 * time.Second
)

// departure is a leave that later announcements of the incarnation must not undo.
type departure struct {
	incarnation uint64
	at          time.Time
}

// table holds the upstreams that have announced themselves, by service.
type table struct {
	mu        sync.Mutex
	lanes     map[string]*lane
	byID      map[string]*upstream
	departed  map[string]departure
	removed   map[string]*upstream
	position  int
	entries   int
	newRouter func() mill.Router
	capacity  func(service string) int
}

func newTable(position, entries int, newRouter func() mill.Router, capacity func(service string) int) *table {
	return &table{
		lanes:     make(map[string]*lane),
		byID:      make(map[string]*upstream),
		departed:  make(map[string]departure),
		removed:   make(map[string]*upstream),
		position:  position,
		entries:   entries,
		newRouter: newRouter,
		capacity:  capacity,
	}
}

// announce takes an announcement that is as old as age and reports whether it
// changed anything but the time.
func (t *table) announce(told mill.Announcement, age time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if age >= forgetTime || t.outdated(&told) {
		return false
	}

	heard := now.Add(-age)
	known, ok := t.byID[told.ID]

	if ok && known.told == told {
		known.hear(heard, age == 0)

		return false
	}

	if ok && !sameProcess(known, told) {
		t.remove(known)
	}

	t.add(told, heard, age == 0)

	return true
}

// outdated reports whether an announcement is of a process that has left or
// was replaced.
func (t *table) outdated(told *mill.Announcement) bool {
	if left, ok := t.departed[told.ID]; ok && told.Incarnation <= left.incarnation {
		return true
	}

	known, ok := t.byID[told.ID]

	return ok && told.Incarnation < known.told.Incarnation
}

// sameProcess reports whether an announcement comes from the process that is
// known, so that the requests in flight to it go on counting.
func sameProcess(known *upstream, told mill.Announcement) bool {
	return known.told.Incarnation == told.Incarnation && known.told.Service == told.Service
}

// leave takes an upstream out and reports whether it was there.
func (t *table) leave(id string, incarnation uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	known, ok := t.byID[id]
	if ok && incarnation == 0 {
		incarnation = known.told.Incarnation
	}

	if left := t.departed[id]; incarnation >= left.incarnation {
		t.departed[id] = departure{incarnation: incarnation, at: now}
	}

	if !ok || known.told.Incarnation > incarnation {
		return false
	}

	t.remove(known)

	return true
}

// expire forgets the upstreams that have been silent.
func (t *table) expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	var expired []string

	for id, known := range t.byID {
		if now.Sub(known.heard) >= forgetTime {
			t.remove(known)

			expired = append(expired, id)
		}
	}

	t.clean(now)

	return expired
}

func (t *table) clean(now time.Time) {
	for id, left := range t.departed {
		if now.Sub(left.at) >= departedTime {
			delete(t.departed, id)
		}
	}

	for id, gone := range t.removed {
		if now.Sub(gone.heard) >= departedTime && t.lanes[gone.told.Service].unused(gone) {
			delete(t.removed, id)
		}
	}
}

// lane returns the lane of a service that an upstream has announced.
func (t *table) lane(service string) (*lane, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	l, ok := t.lanes[service]

	return l, ok
}

// list returns what is known of each upstream, in the order of their ids.
func (t *table) list(now time.Time) []beat {
	t.mu.Lock()
	defer t.mu.Unlock()

	beats := make([]beat, 0, len(t.byID))

	for _, known := range t.byID {
		beats = append(beats, beat{
			told:  known.told,
			age:   now.Sub(known.heard),
			share: known.share,
		})
	}

	slices.SortFunc(beats, func(a, b beat) int { return compareIDs(a.told.ID, b.told.ID) })

	return beats
}

// beat is an upstream with the age of its latest announcement.
type beat struct {
	told  mill.Announcement
	age   time.Duration
	share int
}

// services returns the slots of each service.
func (t *table) services() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()

	slots := make(map[string]int, len(t.lanes))

	for _, known := range t.byID {
		slots[known.told.Service] += known.told.Slots
	}

	return slots
}

// setRouter puts another policy in force.
func (t *table) setRouter(newRouter func() mill.Router) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.newRouter = newRouter

	for _, l := range t.lanes {
		l.update(func() { l.router = newRouter() })
	}
}

// add enters an upstream. A process that was known before keeps its count of
// requests in flight: its slots must not be given out a second time.
func (t *table) add(told mill.Announcement, heard time.Time, direct bool) {
	u := t.recall(told)

	l, ok := t.lanes[told.Service]
	if !ok {
		l = newLane(told.Service, t.newRouter(), t.capacity(told.Service))
		t.lanes[told.Service] = l
	}

	t.byID[told.ID] = u
	u.move(told.Address)
	l.update(func() {
		u.told = told
		u.heard = heard
		u.share = shareOf(told.Slots, t.position, t.entries)
		u.connections = shareOf(told.Connections, t.position, t.entries)
		u.leaving = false
		u.direct = u.direct || direct

		if !slices.Contains(l.upstreams, u) {
			l.upstreams = append(l.upstreams, u)
		}
	})
}

func (t *table) recall(told mill.Announcement) *upstream {
	if known, ok := t.byID[told.ID]; ok && sameProcess(known, told) {
		return known
	}

	if gone, ok := t.removed[told.ID]; ok && sameProcess(gone, told) {
		delete(t.removed, told.ID)

		return gone
	}

	return &upstream{}
}

func (t *table) remove(u *upstream) {
	delete(t.byID, u.told.ID)
	t.removed[u.told.ID] = u

	l := t.lanes[u.told.Service]
	l.update(func() {
		u.leaving = true
		l.upstreams = slices.DeleteFunc(l.upstreams, func(other *upstream) bool { return other == u })
	})
	u.closeIdle()
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
