package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/route"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// gossipMode is a way to distribute announcements among the entries of a data centre.
type gossipMode struct {
	name string
	// push sends changes at once. all sends heartbeats for every known upstream, not only for
	// those that have announced themselves to the entry.
	push, all bool
	period    time.Duration
}

// BenchmarkAnnouncements compares gossip modes in virtual time by the bytes per second that an entry
// sends, and by the time until all entries know a change. The cost of a call is its encoded size.
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
					benchmarkGossipMode(b, mode, size.entries, size.upstreams)
				}
			})
		}
	}
}

func benchmarkGossipMode(b *testing.B, mode gossipMode, entries, upstreams int) {
	const (
		step     = 50 * time.Millisecond
		duration = 20 * time.Second
	)

	c := &gossipCluster{now: time.Unix(1_800_000_000, 0), alive: make(map[string]uint64)}
	for position := range entries {
		c.tables = append(c.tables, newTable(position, entries,
			func() mill.Router { return &route.LeastWait{} }, func(string) int { return 8 }))
	}

	sent := 0
	totalStaleness, changes := time.Duration(0), 0
	changedAt := make(map[string]time.Time)

	for at := time.Duration(0); at < duration; at += step {
		c.now = c.now.Add(step)

		// Each upstream announces itself once a second, at its own offset and to the entries in turn.
		// One upstream restarts every second.
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
				changedAt[id] = c.now
			}

			to := (i + int(at/time.Second)) % entries
			if c.tables[to].announce(c.announcementOf(id), 0, c.now) && mode.push {
				gossip := &Gossip{Changes: []AgedAnnouncement{{Announcement: c.announcementOf(id)}}}
				sent += deliverToOthers(c, to, gossip)
			}
		}

		for from := range c.tables {
			if at%mode.period == time.Duration(from)*mode.period/time.Duration(entries)/step*step {
				sent += deliverToOthers(c, from, heartbeatsOf(c.tables[from], mode.all, c.now))
			}
		}

		for id, since := range changedAt {
			if allKnow(c, id) {
				totalStaleness += c.now.Sub(since)
				changes++

				delete(changedAt, id)
			}
		}
	}

	b.ReportMetric(float64(sent)/duration.Seconds()/float64(entries), "B/s/entry")
	b.ReportMetric(float64(totalStaleness.Milliseconds())/float64(max(changes, 1)), "ms-stale")
	b.ReportMetric(0, "ns/op")
}

func heartbeatsOf(t *table, all bool, now time.Time) *Gossip {
	if !all {
		return t.takeHeartbeats(now)
	}

	gossip := &Gossip{}
	for _, u := range t.list(now) {
		gossip.Heartbeats = append(gossip.Heartbeats, UpstreamHeartbeat{
			ID: u.announcement.ID, Incarnation: u.announcement.Incarnation, AgeMilli: u.age.Milliseconds(),
		})
	}

	return gossip
}

// deliverToOthers delivers gossip to the other entries, with the full announcements that they ask
// for, and returns the bytes sent.
func deliverToOthers(c *gossipCluster, from int, gossip *Gossip) int {
	sent := 0

	for to := range c.tables {
		if to == from {
			continue
		}

		sent += encodedSize(gossip)
		c.receive(to, gossip)

		if missing := c.tables[to].applyHeartbeats(gossip.Heartbeats, c.now); len(missing) > 0 {
			reply := c.tables[from].fullAnnouncements(missing, c.now)
			sent += encodedSize(reply)
			c.receive(to, reply)
		}
	}

	return sent
}

func allKnow(c *gossipCluster, id string) bool {
	for _, t := range c.tables {
		if u, ok := t.byID[id]; !ok || u.announcement.Incarnation != c.alive[id] {
			return false
		}
	}

	return true
}

func encodedSize(gossip *Gossip) int {
	data, err := wire.Encode(gossip)
	if err != nil {
		return 0
	}

	return len(data)
}
