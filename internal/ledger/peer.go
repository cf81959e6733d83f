package ledger

import "github.com/cranberrymill/cranberrymill/pkg/mill"

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

func newPeer(member mill.Member, next uint64) *peer {
	return &peer{member: member, next: next}
}
