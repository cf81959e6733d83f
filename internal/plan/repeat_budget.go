package plan

const (
	// repeatShare is how many repeats each order pays for: a network that loses a tenth of the orders is covered, and a
	// leader or a pool that is slow to answer everything gets a tenth more orders at most.
	repeatShare = 0.1
	// maxRepeats is how many repeats can be saved up, for the losses of a moment.
	maxRepeats = 32
)

// RepeatBudget bounds how many unanswered orders are sent again before they time out. It answers the load of a pool whose
// workers answer late because they, or the leader, are overloaded: orders sent twice would add to it. The zero value has no
// repeats to spend.
type RepeatBudget struct {
	available float64
}

// RecordOrder records an order that is sent for the first time.
func (b *RepeatBudget) RecordOrder() {
	b.available = min(b.available+repeatShare, maxRepeats)
}

// Spend takes one repeat from the budget, and reports whether there was one.
func (b *RepeatBudget) Spend() bool {
	if b.available < 1 {
		return false
	}

	b.available--

	return true
}
