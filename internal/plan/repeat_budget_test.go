package plan

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRepeatBudgetBoundsExtraOrders guards against repeats that double the orders while nothing is answered in time.
func TestRepeatBudgetBoundsExtraOrders(t *testing.T) {
	for _, lost := range []struct {
		every, orders, want int
	}{
		{every: 1, orders: 5000, want: 500},    // All are late: a tenth is repeated.
		{every: 25, orders: 5000, want: 200},   // One in 25 is lost: all of these are repeated.
		{every: 10, orders: 5000, want: 500},   // One in ten.
		{every: 1, orders: 9, want: 0},         // Too few orders have paid for a repeat.
		{every: 2000, orders: 40000, want: 20}, // Rare losses.
	} {
		var (
			budget  RepeatBudget
			repeats int
		)

		for i := range lost.orders {
			budget.RecordOrder()

			if (i+1)%lost.every == 0 && budget.Spend() {
				repeats++
			}
		}

		assert.Assert(t, repeats >= lost.want-1 && repeats <= lost.want+1, "%+v: %d repeats", lost, repeats)
	}
}
