package routing

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxStartOffset bounds the requests that a new route is taken to have had. Weights are percentages or parts of a thousand.
const maxStartOffset = 1000

// Splitter divides the requests of routes among their pools by weight. It hands out the pools in turn rather than at random,
// since the few requests that one node sees in a minute would otherwise miss the weights by far. It is immutable.
type Splitter struct {
	// credits holds, by route, what each share is owed in units of weight.
	credits fleet.Map[string, []int]
}

// NextPool returns the pool for the next request of a route. A route that is new here starts at a random place in its turn, so
// that the nodes of a fleet do not all begin with the same pool.
func (s Splitter) NextPool(route fleet.Route, random uint64) (Splitter, fleet.PoolName) {
	if len(route.Split) == 0 {
		return s, route.Pool
	}
	owed, known := s.credits.Get(route.Name)
	if !known || len(owed) != len(route.Split) {
		owed = make([]int, len(route.Split))
		for range random % maxStartOffset {
			owed, _ = turn(route.Split, owed)
		}
	}
	owed, chosen := turn(route.Split, owed)
	s.credits = s.credits.With(route.Name, owed)
	return s, route.Split[chosen].Pool
}

// turn returns what is owed after one more request, and the share that takes it: the one that is owed most.
func turn(split []fleet.WeightedPool, owed []int) ([]int, int) {
	next := make([]int, len(split))
	total, chosen := 0, 0
	for i, share := range split {
		next[i] = owed[i] + share.Weight
		total += share.Weight
		if next[i] > next[chosen] {
			chosen = i
		}
	}
	next[chosen] -= total
	return next, chosen
}
