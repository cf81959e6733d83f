package mill

import (
	"maps"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"
)

// Registry holds the implementations of one interface by name; its zero value is empty.
type Registry[T any] struct {
	mu     sync.RWMutex
	byName map[string]T
}

// Register adds an implementation, replacing any earlier one of that name.
func (r *Registry[T]) Register(name string, value T) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.byName == nil {
		r.byName = make(map[string]T)
	}

	r.byName[name] = value
}

// Find returns the implementation of that name or ErrNotFound.
func (r *Registry[T]) Find(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()

	value, ok := r.byName[name]
	if !ok {
		return value, merry.Prependf(ErrNotFound, "%q, known names are %q", name, r.names())
	}

	return value, nil
}

// Names returns the registered names in sorted order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()

	return r.names()
}

func (r *Registry[T]) names() []string {
	return slices.Sorted(maps.Keys(r.byName))
}
