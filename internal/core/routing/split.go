package routing

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

// maxStartOffset bounds the random offset at which a new route starts. Weights are percentages or parts per thousand.
const maxStartOffset = 1000

// Splitter divides the requests of routes among their pools by smooth weighted round robin. With a random choice, the few
// requests that one node receives in a minute would deviate far from the weights. It is immutable.
type Splitter struct {
	// credits holds the credit of each weighted pool, in units of weight, by route name.
	credits fleet.Map[string, []int]
}

// NextPool returns the pool for the next request of a route. A new route starts at a random offset in the rotation, so that the
// nodes of a fleet do not all start with the same pool.
func (s Splitter) NextPool(route fleet.Route, random uint64) (Splitter, fleet.PoolName) {
	if len(route.Split) == 0 {
		return s, route.Pool
	}
	credit, known := s.credits.Get(route.Name)
	if !known || len(credit) != len(route.Split) {
		credit = make([]int, len(route.Split))
		for range random % maxStartOffset {
			credit, _ = selectNext(route.Split, credit)
		}
	}
	credit, chosen := selectNext(route.Split, credit)
	s.credits = s.credits.With(route.Name, credit)
	return s, route.Split[chosen].Pool
}

// selectNext selects the pool with the highest credit for one request. It returns the credits after that request and the index of
// the pool.
func selectNext(split []fleet.WeightedPool, credit []int) ([]int, int) {
	next := make([]int, len(split))
	total, chosen := 0, 0
	for i, pool := range split {
		next[i] = credit[i] + pool.Weight
		total += pool.Weight
		if next[i] > next[chosen] {
			chosen = i
		}
	}
	next[chosen] -= total
	return next, chosen
}
