package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/route"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// gossipCluster simulates the tables of several entries and the gossip in transit between them, and
// holds the true state of the upstreams.
type gossipCluster struct {
	tables    []*table
	now       time.Time
	inTransit []packet
	// alive holds the incarnation of each running upstream, and leftAt when an upstream left.
	alive           map[string]uint64
	leftAt          map[string]time.Time
	lastIncarnation uint64
}

// packet is gossip in transit to an entry.
type packet struct {
	to     int
	gossip Gossip
	sentAt time.Time
}

func newGossipCluster() *gossipCluster {
	c := &gossipCluster{now: time.Unix(1_800_000_000, 0), alive: make(map[string]uint64), leftAt: make(map[string]time.Time)}

	for position := range 3 {
		c.tables = append(c.tables, newTable(position, 3,
			func() mill.Router { return &route.LeastWait{} }, func(string) int { return 8 }))
	}

	return c
}

func (c *gossipCluster) announcementOf(id string) mill.Announcement {
	return mill.Announcement{
		ID: id, Incarnation: c.alive[id], Service: "booking", Address: "127.0.0.1:1", Slots: 8, Connections: 64,
	}
}

func (c *gossipCluster) announce(at int, id string) {
	if c.tables[at].announce(c.announcementOf(id), 0, c.now) {
		c.broadcast(at, Gossip{Changes: []AgedAnnouncement{{Announcement: c.announcementOf(id)}}})
	}
}

func (c *gossipCluster) leave(at int, id string) {
	incarnation := c.alive[id]
	c.tables[at].leave(id, incarnation, c.now)
	c.broadcast(at, Gossip{Departures: []Departure{{ID: id, Incarnation: incarnation}}})
	delete(c.alive, id)

	c.leftAt[id] = c.now
}

func (c *gossipCluster) broadcast(from int, gossip Gossip) {
	for to := range c.tables {
		if to != from {
			c.inTransit = append(c.inTransit, packet{to: to, gossip: gossip, sentAt: c.now})
		}
	}
}

func (c *gossipCluster) sendHeartbeats(from int) {
	gossip := c.tables[from].takeHeartbeats(c.now)

	for to := range c.tables {
		if to == from {
			continue
		}

		if missing := c.tables[to].applyHeartbeats(gossip.Heartbeats, c.now); len(missing) > 0 {
			c.receive(to, c.tables[from].fullAnnouncements(missing, c.now))
		}
	}
}

func (c *gossipCluster) receive(to int, gossip *Gossip) {
	for _, departure := range gossip.Departures {
		c.tables[to].leave(departure.ID, departure.Incarnation, c.now)
	}

	for i := range gossip.Changes {
		c.tables[to].announce(gossip.Changes[i].Announcement, time.Duration(gossip.Changes[i].AgeMilli)*time.Millisecond, c.now)
	}
}

// checkDeparted checks that an upstream that has left, and has not come back, is not used for longer
// than maxDelay.
func (c *gossipCluster) checkDeparted(t *rapid.T) {
	const maxDelay = upstreamTimeout + time.Second

	for entry, tbl := range c.tables {
		pool, ok := tbl.pool("booking")
		if !ok {
			continue
		}

		for _, u := range pool.upstreams {
			leftAt, left := c.leftAt[u.announcement.ID]
			_, alive := c.alive[u.announcement.ID]

			if left && !alive && c.now.Sub(leftAt) > maxDelay {
				t.Fatalf("entry %d sends requests to %s, which left %s ago", entry, u.announcement.ID, c.now.Sub(leftAt))
			}
		}
	}
}

// TestFuzzMembership draws announcements, departures, restarts, lost and late gossip, and upstreams
// that stop announcing. It checks that an upstream that has left gets no requests after a few
// seconds, and that all entries agree once gossip is delivered.
func TestFuzzMembership(t *testing.T) {
	seeds.SetChecks(t, 2000)
	rapid.Check(t, func(t *rapid.T) {
		c := newGossipCluster()
		ids := []string{"u1", "u2", "u3"}

		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				c.lastIncarnation++
				c.alive[id] = c.lastIncarnation
			},
			"announce": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				if _, ok := c.alive[id]; ok {
					c.announce(rapid.IntRange(0, 2).Draw(t, "entry"), id)
				}
			},
			"announceAll": func(*rapid.T) { c.announceAll() },
			"leave": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				if _, ok := c.alive[id]; ok {
					c.leave(rapid.IntRange(0, 2).Draw(t, "entry"), id)
				}
			},
			"vanish": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				if _, ok := c.alive[id]; ok {
					delete(c.alive, id)
					c.leftAt[id] = c.now
				}
			},
			"deliver": func(t *rapid.T) {
				if len(c.inTransit) > 0 {
					at := rapid.IntRange(0, len(c.inTransit)-1).Draw(t, "at")
					// Gossip that was sent too long ago is not delivered: a call has a timeout.
					if c.now.Sub(c.inTransit[at].sentAt) < gossipTimeout {
						c.receive(c.inTransit[at].to, &c.inTransit[at].gossip)
					}

					c.inTransit = slices.Delete(c.inTransit, at, at+1)
				}
			},
			"drop": func(*rapid.T) { c.inTransit = nil },
			"beats": func(t *rapid.T) {
				c.sendHeartbeats(rapid.IntRange(0, 2).Draw(t, "entry"))
			},
			"pass": func(t *rapid.T) {
				c.advance(time.Duration(rapid.SampledFrom([]int{50, 300, 1000, 2500}).Draw(t, "milli")) * time.Millisecond)
			},
			"": c.checkDeparted,
		})

		c.checkConvergence(t)
	})
}

func (c *gossipCluster) announceAll() {
	for _, id := range []string{"u1", "u2", "u3"} {
		if _, ok := c.alive[id]; ok {
			c.announce(0, id)
		}
	}
}

// advance advances the time and expires upstreams in every table.
func (c *gossipCluster) advance(length time.Duration) {
	c.now = c.now.Add(length)

	for _, tbl := range c.tables {
		tbl.expire(c.now)
	}
}

func (c *gossipCluster) checkConvergence(t *rapid.T) {
	c.inTransit = nil

	for range 5 {
		c.announceAll()
		c.advance(time.Second)

		for at := range c.tables {
			c.sendHeartbeats(at)
		}
	}

	for entry, tbl := range c.tables {
		known := tbl.list(c.now)
		assert.Equal(t, len(known), len(c.alive), fmt.Sprint("entry ", entry))

		for _, u := range known {
			assert.Equal(t, u.announcement.Incarnation, c.alive[u.announcement.ID])
		}
	}
}
