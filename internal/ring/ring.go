package ring

import (
	"context"
	"sync"
)

const defaultCapacity = 1024

// Ring is a bounded queue for many producers and consumers. Its zero value holds up to 1,024 values.
type Ring[T any] struct {
	once     sync.Once
	capacity int
	values   chan T
}

// New returns a ring that holds up to capacity values.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{capacity: capacity}
}

// Offer adds a value without blocking and reports false if the ring is full.
func (r *Ring[T]) Offer(value T) bool {
	select {
	case r.channel() <- value:
		return true
	default:
		return false
	}
}

// Put adds a value, waiting for free capacity until the context ends.
func (r *Ring[T]) Put(ctx context.Context, value T) error {
	select {
	case r.channel() <- value:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Take removes and returns the oldest value, waiting for one until the context ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case value := <-r.channel():
		return value, nil
	case <-ctx.Done():
		var zero T

		return zero, context.Cause(ctx)
	}
}

// TakeBatch waits for a value and returns it with the values already queued after it, up to limit in all.
func (r *Ring[T]) TakeBatch(ctx context.Context, limit int) ([]T, error) {
	first, err := r.Take(ctx)
	if err != nil {
		return nil, err
	}

	batch := []T{first}

	for len(batch) < limit {
		select {
		case value := <-r.channel():
			batch = append(batch, value)
		default:
			return batch, nil
		}
	}

	return batch, nil
}

func (r *Ring[T]) channel() chan T {
	r.once.Do(func() {
		if r.capacity <= 0 {
			r.capacity = defaultCapacity
		}

		r.values = make(chan T, r.capacity)
	})

	return r.values
}
