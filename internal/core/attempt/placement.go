package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// manner is how a target is asked to take an attempt.
type manner uint8

const (
	// probing asks for a slot at once. A target that is full or has just failed refuses, and another one is asked; within an
	// availability zone that costs a fraction of a millisecond, and no stale view of a target is relied on.
	probing manner = iota
	// waiting accepts a place in the target's queue.
	waiting
	// forced accepts a queue, and a target that has just failed, because no healthy one is left.
	forced
)

const (
	// maxProbes bounds the targets that are asked for a free slot. A pool in which that many are full is full.
	maxProbes = 8
	// sheddingProbes is how many targets must have refused a request because they shed, and none because it is full, until its pool is
	// taken to shed as a whole. Where a third of the targets shed, and the others are healthy, that happens to 1 request in 27.
	sheddingProbes = 3
)

// placement is where an attempt goes.
type placement struct {
	candidate fleet.Candidate
	manner    manner
}

// bounce is an attempt that provably did not run.
type bounce struct {
	target fleet.TargetID
	cause  fleet.Cause
	manner manner
	// near means that the target is in the ingress's own availability zone.
	near bool
	// wait is how long the request would have waited in the target's queue.
	wait time.Duration
}

// place decides where the next attempt of a request goes. It answers six loads:
//
//   - Light load, with targets that fail now and then: a free target of the own availability zone, and the next one as soon
//     as it refuses. Another zone is asked only when none of the own takes the request.
//   - A burst that fills the own zone: the request waits there as long as its answer still meets the response-time goal,
//     because bytes between zones are dear; else it goes to a free target of another zone, or to a queue there that meets
//     the goal.
//   - An overload of the whole pool: no queue meets the goal, so that nothing is gained in another zone, and the request
//     waits in its own as long as it can be answered at all.
//   - A pool of which most targets fail: the healthy ones have used up their parts of the retry budget, so that a failing one
//     is asked, which lends of its own.
//   - A pool that fails as a whole: when only suspect targets are left, one of them is forced to take the request. Targets that
//     shed a part of their requests are asked before those that break them off, and for orders also where healthy ones are full.
//   - A pool that sheds as a whole: after a few targets that do, one is forced to take the request. In a large pool a request would
//     otherwise use up its refusals before it is offered to any target.
func (c *choice) place() (placement, bool) {
	steps := []func() (int, manner){
		c.home, c.shedding, c.free, c.nearInGoal, c.farFree, c.lender, c.farInGoal, c.nearInTime, c.farInTime, c.unasked, c.suspect,
	}
	if len(c.flight.live) > 0 {
		// A second attempt beside a slow one helps only where it starts at once.
		steps = []func() (int, manner){c.free, c.farFree}
	}
	for _, step := range steps {
		if i, how := step(); i >= 0 {
			return placement{candidate: c.candidates[i], manner: how}, true
		}
	}
	return placement{}, false
}

// free returns a target of the own zone to be asked for a slot.
func (c *choice) free() (int, manner) {
	return c.probe(true), probing
}

// farFree returns a target of another zone to be asked for a slot.
func (c *choice) farFree() (int, manner) {
	return c.probe(false), probing
}

// shedding returns a target that sheds, once the pool seems to shed as a whole.
func (c *choice) shedding() (int, manner) {
	shed := 0
	for _, b := range c.flight.bounces {
		switch {
		case b.cause == fleet.Overloaded:
			return -1, forced
		case c.pool.view(b.target).health == fleet.Shedding:
			shed++
		}
	}
	if shed < sheddingProbes {
		return -1, forced
	}
	return c.suspect()
}

// lender returns a target that has just failed, to be asked for a part of its retry budget.
func (c *choice) lender() (int, manner) {
	if !c.flight.lacksBudget() || len(c.flight.bounces) >= maxProbes {
		return -1, probing
	}
	for _, near := range []bool{true, false} {
		var buffer [usualPool]int32
		for _, i := range c.inZone(near, buffer[:0]) {
			if c.untried(int(i)) && c.ctx.Now.Before(c.view(int(i)).suspectUntil) {
				return int(i), probing
			}
		}
	}
	return -1, probing
}

// probe returns a target that the request has not been to and that is not known to be full.
func (c *choice) probe(near bool) int {
	if len(c.flight.bounces) >= maxProbes {
		return -1
	}
	var buffer [usualPool]int32
	i, share := c.better(c.inZone(near, buffer[:0]))
	if i < 0 || share >= full {
		return -1
	}
	return i
}

// nearInGoal returns the target of the own zone with the shortest queue, if that is short enough for the goal.
func (c *choice) nearInGoal() (int, manner) {
	return c.queue(true, c.flight.template.Goal.Add(-c.usual())), waiting
}

// farInGoal is the same for the other zones.
func (c *choice) farInGoal() (int, manner) {
	return c.queue(false, c.flight.template.Goal.Add(-c.usual())), waiting
}

// nearInTime returns the target of the own zone with the shortest queue, if that leaves time to run.
func (c *choice) nearInTime() (int, manner) {
	return c.queue(true, c.flight.template.Deadline), waiting
}

// farInTime is the same for the other zones.
func (c *choice) farInTime() (int, manner) {
	return c.queue(false, c.flight.template.Deadline), waiting
}

// unasked returns a target that was not asked for a slot because it is known to be full.
func (c *choice) unasked() (int, manner) {
	var buffer [usualPool]int32
	if i, _ := c.better(c.inZone(true, buffer[:0])); i >= 0 {
		return i, waiting
	}
	i, _ := c.better(c.inZone(false, buffer[:0]))
	return i, waiting
}

// queue returns the target with the shortest queue among those of the own zone, or of the others, that were full when they
// were asked for a slot; -1 when its turn would come later than latest.
func (c *choice) queue(near bool, latest time.Time) int {
	best, shortest := -1, time.Duration(0)
	for _, b := range c.flight.bounces {
		if b.cause != fleet.Overloaded || b.manner != probing || b.near != near {
			continue
		}
		if c.flight.waitedAt(b.target) || c.flight.triedAt(b.target) {
			continue
		}
		if i := c.index(b.target); i >= 0 && (best < 0 || b.wait < shortest) {
			best, shortest = i, b.wait
		}
	}
	if c.ctx.Now.Add(shortest).After(latest) {
		return -1
	}
	return best
}

// suspect returns a target that has just failed, or one of which the ingress remembers a refusal that may be out of date.
// Those that only refuse requests come first, since what they refuse has not run.
func (c *choice) suspect() (int, manner) {
	// Where healthy targets are left, if only full ones, the caller of an order has more of a refusal, after which it may be
	// sent again, than of a try after which nobody knows whether it ran.
	_, full := c.flight.shortestQueue()
	onlyShedding := full && !c.flight.template.Idempotent
	best := -1
	var lowest float64
	for i := range c.candidates {
		v := c.view(i)
		if c.flight.triedAt(c.candidates[i].Target.ID) || c.flight.bouncedHard(c.candidates[i].Target.ID) {
			continue
		}
		if onlyShedding && v.health != fleet.Shedding {
			continue
		}
		if share := c.share(i, v) + c.forcingCost(i, v); best < 0 || share < lowest {
			best, lowest = i, share
		}
	}
	return best, forced
}

// forcingCost returns what speaks against forcing a request on a target, in requests per slot.
func (c *choice) forcingCost(i int, v *view) float64 {
	cost := 0.0
	if c.candidates[i].AvailabilityZone != c.state.zone {
		cost += crossingCost
	}
	if v.health != fleet.Shedding {
		cost += faultyCost
	}
	return cost
}

// usual returns how long a request of the class usually runs; 0 while that is not known.
func (c *choice) usual() time.Duration {
	return c.pool.baselines[c.flight.template.Class].value
}

func (c *choice) index(id fleet.TargetID) int {
	for i := range c.candidates {
		if c.candidates[i].Target.ID == id {
			return i
		}
	}
	return -1
}
