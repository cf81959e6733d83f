package intake

import "sync/atomic"

// Budget limits the bytes that all requests in flight of a process may take. Its zero value allows nothing.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of that many bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Reserve takes bytes from the budget, or none if fewer are left.
func (b *Budget) Reserve(bytes int64) bool {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)

		return false
	}

	return true
}

// Release returns bytes to the budget.
func (b *Budget) Release(bytes int64) {
	b.used.Add(-bytes)
}

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 {
	return b.used.Load()
}
