package ledger

import (
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// peer is what a primary knows of another copy of its ledger.
type peer struct {
	member mill.Member
	// counted is set when a commit needs this copy.
	counted bool
	// learner is set until an epoch names this copy.
	learner bool
	acked   uint64
	next    uint64
	quiet   int
	// stalled counts the ticks without progress while entries are outstanding.
	stalled int
}

// peers holds the other copies in the order in which they were added.
type peers struct {
	list []*peer
}

func (p *peers) find(identity string) (*peer, bool) {
	for _, one := range p.list {
		if one.member.Identity == identity {
			return one, true
		}
	}

	return nil, false
}

func (p *peers) add(one *peer) {
	p.list = append(p.list, one)
}

func (p *peers) remove(identity string) {
	p.list = slices.DeleteFunc(p.list, func(one *peer) bool { return one.member.Identity == identity })
}

func newPeer(member mill.Member, next uint64) *peer {
	return &peer{member: member, next: next}
}
