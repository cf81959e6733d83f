package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/route"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// gossipMode is a way to spread announcements over the entries of a data centre.
type gossipMode struct {
	name string
	// push sends changes at once; all beats for every known upstream and not
	// only for those heard directly.
	push, all bool
	period    time.Duration
}

// BenchmarkAnnouncements compares, in virtual time, ways to spread
// announcements: bytes a second that one entry sends, and the time until all
// entries know a change. A call costs its encoded size.
func BenchmarkAnnouncements(b *testing.B) {
	modes := []gossipMode{
		{"periodicAll1s", false, true, time.Second},
		{"pushAll1s", true, true, time.Second},
		{"periodicDirect1s", false, false, time.Second},
		{"pushDirect1s", true, false, time.Second},
	}
	sizes := []struct{ entries, upstreams int }{{3, 16}, {9, 48}, {3, 367}, {9, 4400}}

	for _, size := range sizes {
		for _, mode := range modes {
			b.Run(fmt.Sprintf("entries=%d/upstreams=%d/%s", size.entries, size.upstreams, mode.name), func(b *testing.B) {
				for range b.N {
					spreadFor(b, mode, size.entries, size.upstreams)
				}
			})
		}
	}
}

func spreadFor(b *testing.B, mode gossipMode, entries, upstreams int) {
	const (
		step     = 50 * time.Millisecond
		duration = 20 * time.Second
	)

	c := &crowd{now: time.Unix(1_800_000_000, 0), alive: make(map[string]uint64)}
	for position := range entries {
		c.tables = append(c.tables, newTable(position, entries,
			func() mill.Router { return &route.LeastWait{} }, func(string) int { return 8 }))
	}

	sent := 0
	staleness, changes := time.Duration(0), 0
	waiting := make(map[string]time.Time)

	for at := time.Duration(0); at < duration; at += step {
		c.now = c.now.Add(step)

		// Each upstream announces itself once a second, at its own moment and to
		// an entry in turn; one restarts in each second.
		for i := range upstreams {
			id := fmt.Sprintf("executor-%04d", i)
			if (at/step)%20 != time.Duration(i%20) {
				continue
			}

			if c.alive[id] == 0 {
				c.alive[id] = 1
			}

			if i == int(at/time.Second)%upstreams && at > 2*time.Second {
				c.alive[id]++
				waiting[id] = c.now
			}

			to := (i + int(at/time.Second)) % entries
			if c.tables[to].announce(c.told(id), 0, c.now) && mode.push {
				gossip := &Gossip{Changes: []Heard{{Told: c.told(id)}}}
				sent += spread(c, to, gossip)
			}
		}

		for from := range c.tables {
			if at%mode.period == time.Duration(from)*mode.period/time.Duration(entries)/step*step {
				sent += spread(c, from, beatsOf(c.tables[from], mode.all, c.now))
			}
		}

		for id, since := range waiting {
			if known(c, id) {
				staleness += c.now.Sub(since)
				changes++

				delete(waiting, id)
			}
		}
	}

	b.ReportMetric(float64(sent)/duration.Seconds()/float64(entries), "B/s/entry")
	b.ReportMetric(float64(staleness.Milliseconds())/float64(max(changes, 1)), "ms-stale")
	b.ReportMetric(0, "ns/op")
}

func beatsOf(t *table, all bool, now time.Time) *Gossip {
	if !all {
		return t.beats(now)
	}

	gossip := &Gossip{}
	for _, b := range t.list(now) {
		gossip.Beats = append(gossip.Beats, Beat{
			ID: b.told.ID, Incarnation: b.told.Incarnation, AgeMilli: b.age.Milliseconds(),
		})
	}

	return gossip
}

// spread delivers gossip to the others, with what they ask for whole, and
// returns the bytes sent.
func spread(c *crowd, from int, gossip *Gossip) int {
	sent := 0

	for to := range c.tables {
		if to == from {
			continue
		}

		sent += sizeOf(gossip)
		c.take(to, gossip)

		if missing := c.tables[to].hear(gossip.Beats, c.now); len(missing) > 0 {
			whole := c.tables[from].whole(missing, c.now)
			sent += sizeOf(whole)
			c.take(to, whole)
		}
	}

	return sent
}

func known(c *crowd, id string) bool {
	for _, t := range c.tables {
		if u, ok := t.byID[id]; !ok || u.told.Incarnation != c.alive[id] {
			return false
		}
	}

	return true
}

func sizeOf(gossip *Gossip) int {
	data, err := wire.Encode(gossip)
	if err != nil {
		return 0
	}

	return len(data)
}
