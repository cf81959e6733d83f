package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	gossipInterval = time.Second
	gossipTimeout  = 800 * time.Millisecond
	expiryInterval = 250 * time.Millisecond
)

// announce handles an announcement that an upstream sent to this entry, and broadcasts a change at once.
func (e *Entry) announce(announcement mill.Announcement) {
	if !e.table.announce(announcement, 0, time.Now()) {
		return
	}

	log.Info().Str("upstream", announcement.ID).Str("service", announcement.Service).Msg("upstream announced")
	e.broadcast(&Gossip{Changes: []AgedAnnouncement{{Announcement: announcement}}})
}

// leave removes an upstream and broadcasts that at once.
func (e *Entry) leave(id string, incarnation uint64) bool {
	known := e.table.leave(id, incarnation, time.Now())

	log.Info().Str("upstream", id).Msg("upstream left")
	e.broadcast(&Gossip{Departures: []Departure{{ID: id, Incarnation: incarnation}}})

	return known
}

// runGossip periodically sends heartbeats of upstreams to the other entries of the data centre and a
// summary to the other data centres, and expires upstreams.
func (e *Entry) runGossip(ctx context.Context) error {
	heartbeatTicker := time.NewTicker(gossipInterval)
	defer heartbeatTicker.Stop()

	expiryTicker := time.NewTicker(expiryInterval)
	defer expiryTicker.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expiryTicker.C:
			for _, id := range e.table.expire(time.Now()) {
				log.Warn().Str("upstream", id).Msg("upstream expired: no announcement received")
			}
		case <-heartbeatTicker.C:
			e.broadcast(e.table.takeHeartbeats(time.Now()))
			e.broadcastSummary()
		}
	}
}

// takeHeartbeats returns a heartbeat for each upstream that has announced itself to this entry since
// the previous call. Those of other upstreams are sent by the entries that they announce themselves to.
func (t *table) takeHeartbeats(now time.Time) *Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()

	gossip := &Gossip{}

	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		known := t.byID[id]
		if !known.direct {
			continue
		}

		known.direct = false
		gossip.Heartbeats = append(gossip.Heartbeats, UpstreamHeartbeat{
			ID: id, Incarnation: known.announcement.Incarnation, AgeMilli: now.Sub(known.lastSeen).Milliseconds(),
		})
	}

	return gossip
}

func (e *Entry) broadcast(gossip *Gossip) {
	for _, peer := range e.settings.ClusterMap().In(e.vm.DataCentre()) {
		if peer.Name != e.vm.Name {
			go e.sendGossip(peer.Entry, gossip)
		}
	}
}

// sendGossip sends gossip, and then the full announcements of upstreams that the peer does not know.
func (e *Entry) sendGossip(address string, gossip *Gossip) {
	ctx, cancel := context.WithTimeout(e.ctx, gossipTimeout)
	defer cancel()

	reply, err := wire.Call[Gossip, GossipReply](ctx, e.client, address, MethodGossip, gossip)
	if err != nil || len(reply.Missing) == 0 {
		return
	}

	_, _ = wire.Call[Gossip, GossipReply](
		ctx, e.client, address, MethodGossip, e.table.fullAnnouncements(reply.Missing, time.Now()))
}

// fullAnnouncements returns the announcements of the upstreams with the given ids.
func (t *table) fullAnnouncements(ids []string, now time.Time) *Gossip {
	wanted := make(map[string]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}

	gossip := &Gossip{}

	for _, u := range t.list(now) {
		if wanted[u.announcement.ID] {
			gossip.Changes = append(gossip.Changes, AgedAnnouncement{Announcement: u.announcement, AgeMilli: u.age.Milliseconds()})
		}
	}

	return gossip
}

func (e *Entry) handleGossip(_ context.Context, gossip *Gossip) (*GossipReply, error) {
	now := time.Now()

	for _, departure := range gossip.Departures {
		e.table.leave(departure.ID, departure.Incarnation, now)
	}

	for i := range gossip.Changes {
		change := &gossip.Changes[i]
		e.table.announce(change.Announcement, time.Duration(change.AgeMilli)*time.Millisecond, now)
	}

	return &GossipReply{Missing: e.table.applyHeartbeats(gossip.Heartbeats, now)}, nil
}

// applyHeartbeats updates the known upstreams and returns the ids of unknown ones, except for
// those that have already timed out.
func (t *table) applyHeartbeats(heartbeats []UpstreamHeartbeat, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	var missing []string

	for _, heartbeat := range heartbeats {
		seenAt := now.Add(-time.Duration(heartbeat.AgeMilli) * time.Millisecond)

		known, ok := t.byID[heartbeat.ID]
		if !ok || known.announcement.Incarnation != heartbeat.Incarnation {
			if now.Sub(seenAt) < upstreamTimeout {
				missing = append(missing, heartbeat.ID)
			}

			continue
		}

		known.markSeen(seenAt, false)
	}

	return missing
}
