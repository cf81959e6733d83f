package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// upstreamTimeout is how long after its last announcement an upstream expires.
	upstreamTimeout = 3 * time.Second
	// tombstoneRetention is how long a tombstone is kept, so that an announcement that was in flight
	// when the upstream left does not bring it back.
	tombstoneRetention = 10 * time.Second
)

// tombstone records that an upstream has left. Later announcements of the same or an earlier
// incarnation must not bring it back.
type tombstone struct {
	incarnation uint64
	leftAt      time.Time
}

// table holds the upstreams that have announced themselves, by service. Each entry uses a share of
// an upstream's slots according to its position among the data centre's entries.
type table struct {
	mu            sync.Mutex
	pools         map[string]*servicePool
	byID          map[string]*upstream
	tombstones    map[string]tombstone
	removed       map[string]*upstream
	position      int
	entries       int
	newRouter     func() mill.Router
	queueCapacity func(service string) int
}

func newTable(position, entries int, newRouter func() mill.Router, capacity func(service string) int) *table {
	return &table{
		pools:         make(map[string]*servicePool),
		byID:          make(map[string]*upstream),
		tombstones:    make(map[string]tombstone),
		removed:       make(map[string]*upstream),
		position:      position,
		entries:       entries,
		newRouter:     newRouter,
		queueCapacity: capacity,
	}
}

// announce applies an announcement that was received age ago, and reports whether anything but
// the time of the last announcement has changed.
func (t *table) announce(announcement mill.Announcement, age time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if age >= upstreamTimeout || t.isStale(&announcement) {
		return false
	}

	seenAt := now.Add(-age)
	known, ok := t.byID[announcement.ID]

	if ok && known.announcement == announcement {
		known.markSeen(seenAt, age == 0)

		return false
	}

	if ok && !sameProcess(known, announcement) {
		t.remove(known)
	}

	t.add(announcement, seenAt, age == 0)

	return true
}

// isStale reports whether an announcement is from a process that has left or been replaced.
func (t *table) isStale(announcement *mill.Announcement) bool {
	if departed, ok := t.tombstones[announcement.ID]; ok && announcement.Incarnation <= departed.incarnation {
		return true
	}

	known, ok := t.byID[announcement.ID]

	return ok && announcement.Incarnation < known.announcement.Incarnation
}

// sameProcess reports whether an announcement comes from the known process, so that the requests in
// flight to it still count against its slots.
func sameProcess(known *upstream, announcement mill.Announcement) bool {
	return known.announcement.Incarnation == announcement.Incarnation && known.announcement.Service == announcement.Service
}

// leave removes an upstream and reports whether it was known. An incarnation of 0 means the known one.
func (t *table) leave(id string, incarnation uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	known, ok := t.byID[id]
	if ok && incarnation == 0 {
		incarnation = known.announcement.Incarnation
	}

	if departed := t.tombstones[id]; incarnation >= departed.incarnation {
		t.tombstones[id] = tombstone{incarnation: incarnation, leftAt: now}
	}

	if !ok || known.announcement.Incarnation > incarnation {
		return false
	}

	t.remove(known)

	return true
}

// expire removes the upstreams without a recent announcement and returns their ids.
func (t *table) expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	var expired []string

	for id, known := range t.byID {
		if now.Sub(known.lastSeen) >= upstreamTimeout {
			t.remove(known)

			expired = append(expired, id)
		}
	}

	t.purge(now)

	return expired
}

func (t *table) purge(now time.Time) {
	for id, departed := range t.tombstones {
		if now.Sub(departed.leftAt) >= tombstoneRetention {
			delete(t.tombstones, id)
		}
	}

	for id, u := range t.removed {
		if now.Sub(u.lastSeen) >= tombstoneRetention && t.pools[u.announcement.Service].isIdle(u) {
			delete(t.removed, id)
		}
	}
}

// pool returns the pool of a service that any upstream has announced.
func (t *table) pool(service string) (*servicePool, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	pool, ok := t.pools[service]

	return pool, ok
}

// list returns the upstreams in the order of their ids.
func (t *table) list(now time.Time) []upstreamInfo {
	t.mu.Lock()
	defer t.mu.Unlock()

	upstreams := make([]upstreamInfo, 0, len(t.byID))

	for _, known := range t.byID {
		upstreams = append(upstreams, upstreamInfo{
			announcement: known.announcement,
			age:          now.Sub(known.lastSeen),
			slotShare:    known.slotShare,
		})
	}

	slices.SortFunc(upstreams, func(a, b upstreamInfo) int { return compareIDs(a.announcement.ID, b.announcement.ID) })

	return upstreams
}

// upstreamInfo describes an upstream, with the age of its latest announcement.
type upstreamInfo struct {
	announcement mill.Announcement
	age          time.Duration
	slotShare    int
}

// slotsByService returns the total slots of each service in the data centre.
func (t *table) slotsByService() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()

	slots := make(map[string]int, len(t.pools))

	for _, known := range t.byID {
		slots[known.announcement.Service] += known.announcement.Slots
	}

	return slots
}

// setRouter replaces the routing policy of all services.
func (t *table) setRouter(newRouter func() mill.Router) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.newRouter = newRouter

	for _, pool := range t.pools {
		pool.update(func() { pool.router = newRouter() })
	}
}

// add adds or updates an upstream. A process that was known before keeps its count of requests in
// flight, so that its slots are not granted twice.
func (t *table) add(announcement mill.Announcement, seenAt time.Time, direct bool) {
	u := t.findOrCreate(announcement)

	pool, ok := t.pools[announcement.Service]
	if !ok {
		pool = newServicePool(announcement.Service, t.newRouter(), t.queueCapacity(announcement.Service))
		t.pools[announcement.Service] = pool
	}

	t.byID[announcement.ID] = u
	u.setAddress(announcement.Address)
	pool.update(func() {
		u.announcement = announcement
		u.lastSeen = seenAt
		u.slotShare = shareOf(announcement.Slots, t.position, t.entries)
		u.connectionShare = shareOf(announcement.Connections, t.position, t.entries)
		u.removed = false
		u.direct = u.direct || direct

		if !slices.Contains(pool.upstreams, u) {
			pool.upstreams = append(pool.upstreams, u)
		}
	})
}

func (t *table) findOrCreate(announcement mill.Announcement) *upstream {
	if known, ok := t.byID[announcement.ID]; ok && sameProcess(known, announcement) {
		return known
	}

	if returned, ok := t.removed[announcement.ID]; ok && sameProcess(returned, announcement) {
		delete(t.removed, announcement.ID)

		return returned
	}

	return &upstream{}
}

func (t *table) remove(u *upstream) {
	delete(t.byID, u.announcement.ID)
	t.removed[u.announcement.ID] = u

	pool := t.pools[u.announcement.Service]
	pool.update(func() {
		u.removed = true
		pool.upstreams = slices.DeleteFunc(pool.upstreams, func(other *upstream) bool { return other == u })
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
