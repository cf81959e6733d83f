package ledger

import (
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// peer is the primary's view of another replica of its ledger.
type peer struct {
	member mill.Member
	// required is set when commits wait for this replica.
	required bool
	// learner is set until an epoch includes this replica.
	learner         bool
	matchIndex      uint64
	nextIndex       uint64
	ticksSinceReply int
	// unackedTicks counts the ticks without progress while entries are unacknowledged.
	unackedTicks int
}

// peers holds the other replicas in the order in which they were added.
type peers struct {
	list []*peer
}

func (ps *peers) find(identity string) (*peer, bool) {
	for _, p := range ps.list {
		if p.member.Identity == identity {
			return p, true
		}
	}

	return nil, false
}

func (ps *peers) add(p *peer) {
	ps.list = append(ps.list, p)
}

func (ps *peers) remove(identity string) {
	ps.list = slices.DeleteFunc(ps.list, func(p *peer) bool { return p.member.Identity == identity })
}

func newPeer(member mill.Member, next uint64) *peer {
	return &peer{member: member, nextIndex: next}
}
