package admission

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// usageWeight is the weight of one tick, a tenth of a second, in the smoothed usage: it follows a burst within a second.
	usageWeight = 0.1
	// minUsage is the usage, in slots, below which a priority is forgotten.
	minUsage = 0.001
	// minCapacityShare is the part of the slots that even the last priority is taken to get, so that its wait stays finite.
	minCapacityShare = 0.1
)

// usage is the smoothed number of slots that the attempts of each priority take. It says what those that come later and go
// first will take away from an attempt that waits. It is immutable.
type usage struct {
	slots fleet.Map[int, float64]
}

// with returns the usage after a tick with the given number of runs by priority.
func (u usage) with(running map[int]int) usage {
	for priority, old := range u.slots.All() {
		left := old * (1 - usageWeight)
		if left < minUsage {
			u.slots = u.slots.Without(priority)
			continue
		}
		u.slots = u.slots.With(priority, left)
	}
	for priority, count := range running {
		old, _ := u.slots.Get(priority)
		u.slots = u.slots.With(priority, old+usageWeight*float64(count))
	}
	return u
}

// before returns the slots that attempts take which go before those of a priority.
func (u usage) before(priority int) float64 {
	total := 0.0
	for p, slots := range u.slots.All() {
		if p < priority {
			total += slots
		}
	}
	return total
}
