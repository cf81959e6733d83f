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

// crowd is the tables of several entries, the gossip on its way between them,
// and what an oracle knows of the upstreams.
type crowd struct {
	tables []*table
	now    time.Time
	queue  []packet
	// alive holds the incarnation of each upstream that announces itself, and
	// left when one that has left did so.
	alive map[string]uint64
	left  map[string]time.Time
	next  uint64
}

// packet is gossip on its way to an entry.
type packet struct {
	to   int
	sent Gossip
	at   time.Time
}

func newCrowd() *crowd {
	c := &crowd{now: time.Unix(1_800_000_000, 0), alive: make(map[string]uint64), left: make(map[string]time.Time)}

	for position := range 3 {
		c.tables = append(c.tables, newTable(position, 3,
			func() mill.Router { return &route.LeastWait{} }, func(string) int { return 8 }))
	}

	return c
}

func (c *crowd) told(id string) mill.Announcement {
	return mill.Announcement{
		ID: id, Incarnation: c.alive[id], Service: "booking", Address: "127.0.0.1:1", Slots: 8, Connections: 64,
	}
}

func (c *crowd) announce(at int, id string) {
	if c.tables[at].announce(c.told(id), 0, c.now) {
		c.push(at, Gossip{Changes: []Heard{{Told: c.told(id)}}})
	}
}

func (c *crowd) leave(at int, id string) {
	incarnation := c.alive[id]
	c.tables[at].leave(id, incarnation, c.now)
	c.push(at, Gossip{Left: []Left{{ID: id, Incarnation: incarnation}}})
	delete(c.alive, id)

	c.left[id] = c.now
}

func (c *crowd) push(from int, gossip Gossip) {
	for to := range c.tables {
		if to != from {
			c.queue = append(c.queue, packet{to: to, sent: gossip, at: c.now})
		}
	}
}

func (c *crowd) beats(from int) {
	gossip := c.tables[from].beats(c.now)

	for to := range c.tables {
		if to == from {
			continue
		}

		if missing := c.tables[to].hear(gossip.Beats, c.now); len(missing) > 0 {
			c.take(to, c.tables[from].whole(missing, c.now))
		}
	}
}

func (c *crowd) take(to int, gossip *Gossip) {
	for _, left := range gossip.Left {
		c.tables[to].leave(left.ID, left.Incarnation, c.now)
	}

	for i := range gossip.Changes {
		c.tables[to].announce(gossip.Changes[i].Told, time.Duration(gossip.Changes[i].AgeMilli)*time.Millisecond, c.now)
	}
}

// check expects no upstream that left, and was not back since, to get work
// more than a few seconds later.
func (c *crowd) check(t *rapid.T) {
	const few = forgetTime + time.Second

	for at, tbl := range c.tables {
		l, ok := tbl.lane("booking")
		if !ok {
			continue
		}

		for _, u := range l.upstreams {
			gone, left := c.left[u.told.ID]
			_, alive := c.alive[u.told.ID]

			if left && !alive && c.now.Sub(gone) > few {
				t.Fatalf("entry %d sends work to %s, which left %s ago", at, u.told.ID, c.now.Sub(gone))
			}
		}
	}
}

// TestFuzzMembership draws announcements, leaves, returns, lost and late gossip
// and silence, and checks that an upstream that has left gets no work after a
// few seconds, and that all entries agree once gossip gets through.
func TestFuzzMembership(t *testing.T) {
	seeds.SetChecks(t, 2000)
	rapid.Check(t, func(t *rapid.T) {
		c := newCrowd()
		ids := []string{"u1", "u2", "u3"}

		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				c.next++
				c.alive[id] = c.next
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
					c.left[id] = c.now
				}
			},
			"deliver": func(t *rapid.T) {
				if len(c.queue) > 0 {
					at := rapid.IntRange(0, len(c.queue)-1).Draw(t, "at")
					// What was sent long ago is not delivered: a call has a timeout.
					if c.now.Sub(c.queue[at].at) < gossipCallTime {
						c.take(c.queue[at].to, &c.queue[at].sent)
					}

					c.queue = slices.Delete(c.queue, at, at+1)
				}
			},
			"drop": func(*rapid.T) { c.queue = nil },
			"beats": func(t *rapid.T) {
				c.beats(rapid.IntRange(0, 2).Draw(t, "entry"))
			},
			"pass": func(t *rapid.T) {
				c.pass(time.Duration(rapid.SampledFrom([]int{50, 300, 1000, 2500}).Draw(t, "milli")) * time.Millisecond)
			},
			"": c.check,
		})

		c.checkAgree(t)
	})
}

func (c *crowd) announceAll() {
	for _, id := range []string{"u1", "u2", "u3"} {
		if _, ok := c.alive[id]; ok {
			c.announce(0, id)
		}
	}
}

// pass moves time on in steps in which every table expires what is silent.
func (c *crowd) pass(length time.Duration) {
	c.now = c.now.Add(length)

	for _, tbl := range c.tables {
		tbl.expire(c.now)
	}
}

func (c *crowd) checkAgree(t *rapid.T) {
	c.queue = nil

	for range 5 {
		c.announceAll()
		c.pass(time.Second)

		for at := range c.tables {
			c.beats(at)
		}
	}

	for at, tbl := range c.tables {
		known := tbl.list(c.now)
		assert.Equal(t, len(known), len(c.alive), fmt.Sprint("entry ", at))

		for _, b := range known {
			assert.Equal(t, b.told.Incarnation, c.alive[b.told.ID])
		}
	}
}
