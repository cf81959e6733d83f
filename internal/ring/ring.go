package ring

import (
	"context"
	"sync"
)

const defaultCapacity = 1024

// Ring is a bounded queue for many producers and consumers; its zero value holds 1,024 values.
type Ring[T any] struct {
	once     sync.Once
	capacity int
	values   chan T
}

// New returns a ring that holds up to capacity values.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{capacity: capacity}
}

// Offer adds a value and reports false at once when the ring is full.
func (r *Ring[T]) Offer(value T) bool {
	select {
	case r.open() <- value:
		return true
	default:
		return false
	}
}

// Put adds a value and waits for room until the context ends.
func (r *Ring[T]) Put(ctx context.Context, value T) error {
	select {
	case r.open() <- value:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Take removes the oldest value and waits for one until the context ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case value := <-r.open():
		return value, nil
	case <-ctx.Done():
		var none T

		return none, context.Cause(ctx)
	}
}

// TakeBatch waits for a value and returns it with those already behind it, limit at most.
func (r *Ring[T]) TakeBatch(ctx context.Context, limit int) ([]T, error) {
	first, err := r.Take(ctx)
	if err != nil {
		return nil, err
	}

	batch := []T{first}

	for len(batch) < limit {
		select {
		case value := <-r.open():
			batch = append(batch, value)
		default:
			return batch, nil
		}
	}

	return batch, nil
}

func (r *Ring[T]) open() chan T {
	r.once.Do(func() {
		if r.capacity <= 0 {
			r.capacity = defaultCapacity
		}

		r.values = make(chan T, r.capacity)
	})

	return r.values
}
