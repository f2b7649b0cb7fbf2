package routing_test

import (
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
)

// countByPool splits a number of requests of a route and returns how many each pool received.
func countByPool(splitter routing.Splitter, route fleet.Route, random uint64, requests int) map[fleet.PoolName]int {
	counts := map[fleet.PoolName]int{}
	for range requests {
		var pool fleet.PoolName
		splitter, pool = splitter.NextPool(route, random)
		counts[pool]++
	}
	return counts
}

// TestSplitter guards against pools whose share of the requests does not match their weights, both for the requests of one node
// and for the first requests of many nodes.
func TestSplitter(t *testing.T) {
	route := fleet.Route{Name: "order", Split: []fleet.WeightedPool{{Pool: "a", Weight: 75}, {Pool: "b", Weight: 25}}}

	t.Run("few requests of one node", func(t *testing.T) {
		for random := range uint64(50) {
			got := countByPool(routing.Splitter{}, route, random, 8)
			is.New(t).Equal(got, map[fleet.PoolName]int{"a": 6, "b": 2})
		}
	})

	t.Run("first request of many nodes", func(t *testing.T) {
		total := 0
		for random := range uint64(1000) {
			total += countByPool(routing.Splitter{}, route, random, 1)["b"]
		}
		is.New(t).Equal(total, 250)
	})

	t.Run("weight 0", func(t *testing.T) {
		zeroWeight := fleet.Route{Name: "r", Split: []fleet.WeightedPool{{Pool: "a", Weight: 0}, {Pool: "b", Weight: 3}}}
		is.New(t).Equal(countByPool(routing.Splitter{}, zeroWeight, 7, 9), map[fleet.PoolName]int{"b": 9})
	})

	t.Run("route without a split", func(t *testing.T) {
		is.New(t).Equal(countByPool(routing.Splitter{}, fleet.Route{Name: "r", Pool: "a"}, 7, 3), map[fleet.PoolName]int{"a": 3})
	})

	t.Run("changed split", func(t *testing.T) {
		splitter, _ := routing.Splitter{}.NextPool(route, 1)
		changed := fleet.Route{Name: "order", Split: []fleet.WeightedPool{
			{Pool: "c", Weight: 1}, {Pool: "d", Weight: 1}, {Pool: "e", Weight: 1},
		}}
		is.New(t).Equal(countByPool(splitter, changed, 1, 9), map[fleet.PoolName]int{"c": 3, "d": 3, "e": 3})
	})
}
