package fleet

import (
	"cmp"
	"iter"
)

// Set is a persistent ordered set. The zero value is empty.
type Set[E cmp.Ordered] struct {
	elements Map[E, struct{}]
}

// NewSet returns the set of the given elements.
func NewSet[E cmp.Ordered](elements ...E) Set[E] {
	var s Set[E]
	for _, e := range elements {
		s = s.With(e)
	}
	return s
}

// Has reports whether e is in the set.
func (s Set[E]) Has(e E) bool {
	_, ok := s.elements.Get(e)
	return ok
}

// With returns the set with e.
func (s Set[E]) With(e E) Set[E] { return Set[E]{s.elements.With(e, struct{}{})} }

// Without returns the set without e.
func (s Set[E]) Without(e E) Set[E] { return Set[E]{s.elements.Without(e)} }

// Len returns the number of elements.
func (s Set[E]) Len() int { return s.elements.Len() }

// From yields the elements at and after e, in order.
func (s Set[E]) From(e E) iter.Seq[E] {
	return func(yield func(E) bool) {
		for e := range s.elements.From(e) {
			if !yield(e) {
				return
			}
		}
	}
}

// All yields the elements in order.
func (s Set[E]) All() iter.Seq[E] {
	return func(yield func(E) bool) {
		for e := range s.elements.All() {
			if !yield(e) {
				return
			}
		}
	}
}
