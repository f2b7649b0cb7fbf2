package membership

import (
	"slices"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// ring lists present members in random order, to be probed one after the other.
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

// advanced returns the ring after its next member, which must exist. It is shuffled anew when it ends.
func (r ring) advanced(random uint64) (ring, fleet.NodeID) {
	if r.next >= len(r.ids) {
		r.next = 0
		r.ids = shuffled(r.ids, random)
	}
	r.next++
	return r, r.ids[r.next-1]
}

// restarted returns the ring such that it is shuffled before its next member.
func (r ring) restarted() ring {
	r.next = len(r.ids)
	return r
}

// some returns up to count members other than except, from a place that moves with turn.
func (r ring) some(count int, except fleet.NodeID, turn uint64) []fleet.NodeID {
	var found []fleet.NodeID
	for i := range r.ids[:min(len(r.ids), max(count, 0)+1)] {
		id := r.ids[(uint64(i)+turn)%uint64(len(r.ids))]
		if id != except && len(found) < count {
			found = append(found, id)
		}
	}
	return found
}
