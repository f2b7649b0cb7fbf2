package membership

import (
	"slices"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// ring lists routable members in random order, in which they are probed.
type ring struct {
	ids []fleet.NodeID
	// next is the index of the next member to probe.
	next int
}

func (r ring) with(id fleet.NodeID) ring {
	r.ids = append(slices.Clip(r.ids), id)
	return r
}

func (r ring) without(id fleet.NodeID) ring {
	i := slices.Index(r.ids, id)
	if i < 0 {
		return r
	}
	r.ids = slices.Delete(slices.Clone(r.ids), i, i+1)
	if i < r.next {
		r.next--
	}
	return r
}

// advance returns the next member, which must exist, and the ring after it. The ring is shuffled again after its last member.
func (r ring) advance(random uint64) (ring, fleet.NodeID) {
	if r.next >= len(r.ids) {
		r.next = 0
		r.ids = shuffled(r.ids, random)
	}
	r.next++
	return r, r.ids[r.next-1]
}

// atEnd returns the ring with no member left to probe, so that the next advance shuffles it.
func (r ring) atEnd() ring {
	r.next = len(r.ids)
	return r
}

// pick returns up to count members other than except, starting at an index that moves with offset.
func (r ring) pick(count int, except fleet.NodeID, offset uint64) []fleet.NodeID {
	var found []fleet.NodeID
	for i := range r.ids[:min(len(r.ids), max(count, 0)+1)] {
		id := r.ids[(uint64(i)+offset)%uint64(len(r.ids))]
		if id != except && len(found) < count {
			found = append(found, id)
		}
	}
	return found
}
