package admission

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// usageWeight is the weight of one tick (100 ms) in the smoothed usage, so that the usage follows a burst within a second.
	usageWeight = 0.1
	// minUsage is the usage in slots below which the entry of a priority is removed.
	minUsage = 0.001
	// minCapacityShare is the fraction of the slots that even the lowest priority is assumed to get, so that its wait stays finite.
	minCapacityShare = 0.1
)

// usage holds the smoothed number of slots in use by priority. It predicts the slots that will be taken from a queued attempt by
// more urgent attempts that arrive after it. Values are immutable.
type usage struct {
	slots fleet.Map[int, float64]
}

// with returns the usage after a tick with the given number of runs by priority.
func (u usage) with(running map[int]int) usage {
	for priority, old := range u.slots.All() {
		decayed := old * (1 - usageWeight)
		if decayed < minUsage {
			u.slots = u.slots.Without(priority)
			continue
		}
		u.slots = u.slots.With(priority, decayed)
	}
	for priority, count := range running {
		old, _ := u.slots.Get(priority)
		u.slots = u.slots.With(priority, old+usageWeight*float64(count))
	}
	return u
}

// before returns the slots in use by attempts that are more urgent than the given priority.
func (u usage) before(priority int) float64 {
	total := 0.0
	for p, slots := range u.slots.All() {
		if p < priority {
			total += slots
		}
	}
	return total
}
