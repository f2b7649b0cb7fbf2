package tables_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The bounds of the users for a fleet of some machines: a change is in force within inForceAlone on each machine whose platform is sound, and
// a machine counts again recoveredAlone after the platform is back.
const (
	inForceAlone   = 2 * time.Second
	recoveredAlone = 3 * time.Second
)

// newSilentFleet returns a fleet with a revision in force whose nodes don't hear from each other any more, as if each were the only one that
// is left.
func newSilentFleet(t *testing.T, nodes, zoneSize int) *simulation {
	t.Helper()
	sim := newSimulation(nodes, newRandom(1))
	sim.zoneSize = zoneSize
	sim.apply()
	sim.run(10 * time.Second)
	is.New(t).Equal(sim.behind(), 0)
	sim.silent = true
	return sim
}

// assertInForce checks that every node has the newest revision within a time.
func assertInForce(t *testing.T, sim *simulation, within time.Duration) {
	t.Helper()
	p := measure(sim)
	t.Logf("in force after %v, %d reads, at most %d within 100 ms", p.duration, p.reads, p.peak)
	is.New(t).Equal(sim.behind(), 0)
	is.New(t).True(p.duration <= within)
}

// TestChangeWithoutPeers guards against a node that learns of a change only from other nodes, which may be lost, frozen or cut off from the
// platform, or from a copy that lags.
func TestChangeWithoutPeers(t *testing.T) {
	for name, c := range map[string]struct {
		nodes, zoneSize int
		within          time.Duration
	}{
		"15 nodes":                       {15, 5, inForceAlone},
		"one node in each zone":          {3, 1, inForceAlone},
		"the design size":                {fleetSize, designZoneSize, inForceWithin},
		"the design size, a lonely zone": {fleetSize, 1, inForceWithin},
	} {
		t.Run(name, func(t *testing.T) {
			t.Run("the others are lost at the moment of the change", func(t *testing.T) {
				sim := newSilentFleet(t, c.nodes, c.zoneSize)
				sim.apply()
				assertInForce(t, sim, c.within)
			})
			t.Run("the others were lost before", func(t *testing.T) {
				sim := newSilentFleet(t, c.nodes, c.zoneSize)
				sim.run(40 * time.Second)
				sim.apply()
				assertInForce(t, sim, c.within)
			})
			t.Run("changes in series", func(t *testing.T) {
				sim := newSilentFleet(t, c.nodes, c.zoneSize)
				for range 5 {
					sim.run(300 * time.Millisecond)
					sim.apply()
				}
				assertInForce(t, sim, c.within)
			})
		})
	}
}

// TestRecoveryWithoutPeers guards against a node that is the only one left in its zone and calls the platform again so late after an outage
// that it goes on with an old revision.
func TestRecoveryWithoutPeers(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second, time.Minute} {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			for seed := range uint64(20) {
				sim := newSilentFleet(t, 3, 1)
				sim.random = newRandom(seed)
				sim.setOutage(true)
				sim.run(outage)
				sim.head++
				sim.setOutage(false)
				assertInForce(t, sim, recoveredAlone)
			}
		})
	}
}

// TestChangeFromOneNode guards against a change that stays unknown in a zone of which only one node can reach the platform.
func TestChangeFromOneNode(t *testing.T) {
	for _, c := range []struct{ nodes, zoneSize int }{{15, 5}, {fleetSize, designZoneSize}} {
		t.Run(fmt.Sprint(c.nodes), func(t *testing.T) {
			sim := newSilentFleet(t, c.nodes, c.zoneSize)
			sim.silent, sim.cutOff = false, map[int]bool{}
			for i := range sim.nodes {
				sim.cutOff[i] = i%c.zoneSize != 0
			}
			sim.run(20 * time.Second)
			for range 3 {
				sim.apply()
				assertInForce(t, sim, inForceWithin)
			}
		})
	}
}

// TestCallsInCalm guards against watches that exceed the rate of the platform, since every node has one.
func TestCallsInCalm(t *testing.T) {
	for _, c := range []struct{ nodes, zoneSize int }{{24, 8}, {81, 27}, {351, 117}, {fleetSize, designZoneSize}} {
		t.Run(fmt.Sprint(c.nodes), func(t *testing.T) {
			sim := newSimulation(c.nodes, newRandom(1))
			sim.zoneSize = c.zoneSize
			sim.apply()
			sim.run(time.Minute)
			before, peak := sim.reads, 0
			for range 5 * 60 {
				earlier := sim.reads
				sim.run(time.Second)
				peak = max(peak, sim.reads-earlier)
			}
			calls := sim.reads - before
			t.Logf("%d nodes: %d calls a minute, %.1f a node, at most %d in a second", c.nodes, calls/5, float64(calls)/5/float64(c.nodes), peak)
			is.New(t).True(peak < maxReadsPerSecond)
		})
	}
}

// TestRestorationWithoutPeers guards against a node that is the only one left in its zone and goes on waiting for changes on a connection that
// has outlived a restoration of the platform.
func TestRestorationWithoutPeers(t *testing.T) {
	sim := newSilentFleet(t, 3, 1)
	for range 20 {
		sim.apply()
		sim.run(200 * time.Millisecond)
	}
	sim.run(10 * time.Second)
	sim.restore(15)
	assertInForce(t, sim, inForceWithin)
}
