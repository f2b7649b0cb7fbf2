package fleet

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// Map is a persistent map ordered by key. The zero value is empty.
type Map[K cmp.Ordered, V any] struct {
	// entries holds pointers to immutable values. A change copies a node of up to 32 entries, and copying large values
	// directly accounted for most of the cost of a reducer step.
	entries *immutable.SortedMap[K, *V]
}

type comparer[K cmp.Ordered] struct{}

func (comparer[K]) Compare(a, b K) int { return cmp.Compare(a, b) }

// Get returns the value at key.
func (m Map[K, V]) Get(key K) (V, bool) {
	var none V
	if m.entries == nil {
		return none, false
	}
	value, ok := m.entries.Get(key)
	if !ok {
		return none, false
	}
	return *value, true
}

// With returns the map with value at key.
func (m Map[K, V]) With(key K, value V) Map[K, V] {
	entries := m.entries
	if entries == nil {
		entries = immutable.NewSortedMap[K, *V](comparer[K]{})
	}
	return Map[K, V]{entries: entries.Set(key, &value)}
}

// Without returns the map without key.
func (m Map[K, V]) Without(key K) Map[K, V] {
	if m.entries == nil {
		return m
	}
	return Map[K, V]{entries: m.entries.Delete(key)}
}

// Len returns the number of entries.
func (m Map[K, V]) Len() int {
	if m.entries == nil {
		return 0
	}
	return m.entries.Len()
}

// All yields the entries in key order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.entries == nil {
			return
		}
		for it := m.entries.Iterator(); !it.Done(); {
			key, value, _ := it.Next()
			if !yield(key, *value) {
				return
			}
		}
	}
}

// From yields the entries at and after key, in key order.
func (m Map[K, V]) From(key K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.entries == nil {
			return
		}
		it := m.entries.Iterator()
		for it.Seek(key); !it.Done(); {
			k, value, _ := it.Next()
			if !yield(k, *value) {
				return
			}
		}
	}
}
