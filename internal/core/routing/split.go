package routing

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

// longestTurn bounds the requests that a new route is taken to have had. Weights are percentages or parts of a thousand.
const longestTurn = 1000

// Splits divides the requests of routes among their pools by weight. It hands out the pools in turn rather than at random,
// since the few requests that one node sees in a minute would otherwise miss the weights by far. It is immutable.
type Splits struct {
	// turns holds, by route, what each share is owed in units of weight.
	turns fleet.Map[string, []int]
}

// Next returns the pool for the next request of a route. A route that is new here starts at a random place in its turn, so
// that the nodes of a fleet do not all begin with the same pool.
func (s Splits) Next(route fleet.Route, random uint64) (Splits, fleet.PoolName) {
	if len(route.Split) == 0 {
		return s, route.Pool
	}
	owed, known := s.turns.Get(route.Name)
	if !known || len(owed) != len(route.Split) {
		owed = make([]int, len(route.Split))
		for range random % longestTurn {
			owed, _ = turn(route.Split, owed)
		}
	}
	owed, chosen := turn(route.Split, owed)
	s.turns = s.turns.With(route.Name, owed)
	return s, route.Split[chosen].Pool
}

// turn returns what is owed after one more request, and the share that takes it: the one that is owed most.
func turn(split []fleet.Share, owed []int) ([]int, int) {
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
