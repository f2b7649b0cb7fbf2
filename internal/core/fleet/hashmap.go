package fleet

import (
	"iter"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

// HashMap is a persistent unordered map for entries that are looked up far more often than listed. A Map compares about a dozen
// keys for each lookup and copies more nodes for each change. The zero value is empty.
type HashMap[K ~string, V any] struct {
	entries *immutable.Map[K, V]
}

// hasher hashes keys identically in every process, so that replaying recorded events yields the same state.
type hasher[K ~string] struct{}

func (hasher[K]) Hash(key K) uint32 { return uint32(xxhash.Sum64String(string(key))) }

func (hasher[K]) Equal(a, b K) bool { return a == b }

// Get returns the value at key.
func (m HashMap[K, V]) Get(key K) (V, bool) {
	if m.entries == nil {
		var none V
		return none, false
	}
	return m.entries.Get(key)
}

// With returns the map with value at key.
func (m HashMap[K, V]) With(key K, value V) HashMap[K, V] {
	entries := m.entries
	if entries == nil {
		entries = immutable.NewMap[K, V](hasher[K]{})
	}
	return HashMap[K, V]{entries: entries.Set(key, value)}
}

// Without returns the map without key.
func (m HashMap[K, V]) Without(key K) HashMap[K, V] {
	if m.entries == nil {
		return m
	}
	return HashMap[K, V]{entries: m.entries.Delete(key)}
}

// Len returns the number of entries.
func (m HashMap[K, V]) Len() int {
	if m.entries == nil {
		return 0
	}
	return m.entries.Len()
}

// All yields the entries in hash order. No decision may depend on that order.
func (m HashMap[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.entries == nil {
			return
		}
		for it := m.entries.Iterator(); !it.Done(); {
			key, value, _ := it.Next()
			if !yield(key, value) {
				return
			}
		}
	}
}
