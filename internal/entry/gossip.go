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
	gossipTime     = time.Second
	gossipCallTime = 800 * time.Millisecond
	expireTime     = 250 * time.Millisecond
)

// announce takes an upstream's own announcement and pushes a change at once.
func (e *Entry) announce(told mill.Announcement) {
	if !e.table.announce(told, 0, time.Now()) {
		return
	}

	log.Info().Str("upstream", told.ID).Str("service", told.Service).Msg("upstream announced")
	e.push(&Gossip{Changes: []Heard{{Told: told}}})
}

// leave takes an upstream out and pushes that at once.
func (e *Entry) leave(id string, incarnation uint64) bool {
	known := e.table.leave(id, incarnation, time.Now())

	log.Info().Str("upstream", id).Msg("upstream left")
	e.push(&Gossip{Left: []Left{{ID: id, Incarnation: incarnation}}})

	return known
}

// runGossip sends the others of the data centre a beat for each upstream, and
// the other data centres a summary.
func (e *Entry) runGossip(ctx context.Context) error {
	beats := time.NewTicker(gossipTime)
	defer beats.Stop()

	expiry := time.NewTicker(expireTime)
	defer expiry.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expiry.C:
			for _, id := range e.table.expire(time.Now()) {
				log.Warn().Str("upstream", id).Msg("upstream forgotten: no announcement")
			}
		case <-beats.C:
			e.push(e.table.beats(time.Now()))
			e.pushSummary()
		}
	}
}

// beats returns a beat for each upstream that this entry itself has heard since
// the last time: what it heard of others is theirs to pass on.
func (t *table) beats(now time.Time) *Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()

	gossip := &Gossip{}

	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		known := t.byID[id]
		if !known.direct {
			continue
		}

		known.direct = false
		gossip.Beats = append(gossip.Beats, Beat{
			ID: id, Incarnation: known.told.Incarnation, AgeMilli: now.Sub(known.heard).Milliseconds(),
		})
	}

	return gossip
}

func (e *Entry) push(gossip *Gossip) {
	for _, peer := range e.settings.ClusterMap().In(e.vm.DataCentre()) {
		if peer.Name != e.vm.Name {
			go e.gossipTo(peer.Entry, gossip)
		}
	}
}

// gossipTo sends gossip and then, whole, what the peer did not know.
func (e *Entry) gossipTo(address string, gossip *Gossip) {
	ctx, cancel := context.WithTimeout(e.ctx, gossipCallTime)
	defer cancel()

	reply, err := wire.Call[Gossip, GossipReply](ctx, e.client, address, MethodGossip, gossip)
	if err != nil || len(reply.Missing) == 0 {
		return
	}

	_, _ = wire.Call[Gossip, GossipReply](ctx, e.client, address, MethodGossip, e.table.whole(reply.Missing, time.Now()))
}

// whole returns the announcements of the upstreams of those ids.
func (t *table) whole(ids []string, now time.Time) *Gossip {
	wanted := make(map[string]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}

	gossip := &Gossip{}

	for _, b := range t.list(now) {
		if wanted[b.told.ID] {
			gossip.Changes = append(gossip.Changes, Heard{Told: b.told, AgeMilli: b.age.Milliseconds()})
		}
	}

	return gossip
}

func (e *Entry) takeGossip(_ context.Context, gossip *Gossip) (*GossipReply, error) {
	now := time.Now()

	for _, left := range gossip.Left {
		e.table.leave(left.ID, left.Incarnation, now)
	}

	for i := range gossip.Changes {
		change := &gossip.Changes[i]
		e.table.announce(change.Told, time.Duration(change.AgeMilli)*time.Millisecond, now)
	}

	return &GossipReply{Missing: e.table.hear(gossip.Beats, now)}, nil
}

// hear takes the beats of known upstreams and returns the ids of the others.
func (t *table) hear(beats []Beat, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	var missing []string

	for _, b := range beats {
		heard := now.Add(-time.Duration(b.AgeMilli) * time.Millisecond)

		known, ok := t.byID[b.ID]
		if !ok || known.told.Incarnation != b.Incarnation {
			if now.Sub(heard) < forgetTime {
				missing = append(missing, b.ID)
			}

			continue
		}

		known.hear(heard, false)
	}

	return missing
}
