package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// mode is how a target is asked to take an attempt.
type mode uint8

const (
	// probing asks for a slot at once. A target that is full or has just failed refuses, and another one is asked. Within an
	// availability zone that costs a fraction of a millisecond, and no stale view of a target is relied on.
	probing mode = iota
	// waiting accepts a position in the target's queue.
	waiting
	// forced accepts a queue position, and a target that has recently failed, because no healthy target is left.
	forced
)

const (
	// maxProbes bounds the targets that are asked for a free slot. A pool in which that many targets are full is taken to be
	// full.
	maxProbes = 8
	// minShedRefusals is how many targets must have refused a request because they shed, and none because it is full, before
	// its pool is taken to shed as a whole. If a third of the targets shed and the others are healthy, this happens to 1
	// request in 27.
	minShedRefusals = 3
)

// placement is the target and the mode of an attempt.
type placement struct {
	candidate fleet.Candidate
	mode      mode
}

// refusal is an attempt that provably did not run.
type refusal struct {
	target fleet.TargetID
	cause  fleet.Cause
	mode   mode
	// ownZone is true if the target is in the ingress's own availability zone.
	ownZone bool
	// queueWait is how long the request would have waited in the target's queue.
	queueWait time.Duration
}

// pick returns the placement of a request's next attempt. The order of its steps serves six kinds of load:
//
//   - Light load, with targets that fail now and then: a free target of the own availability zone, and the next one as
//     soon as it refuses. Another zone is asked only if no target of the own zone takes the request.
//   - A burst that fills the own zone: the request waits there as long as its response can still meet the latency goal,
//     because traffic between zones is expensive. Otherwise it goes to a free target of another zone, or to a queue
//     there that meets the goal.
//   - An overload of the whole pool: no queue meets the goal, so another zone gains nothing, and the request waits in
//     its own zone as long as there is time to run it.
//   - A pool of which most targets fail: the healthy ones have spent their shares of the retry budget, so a failing one
//     is asked to charge the attempt to its own share.
//   - A pool that fails as a whole: if only suspect targets are left, the request is forced on one of them. Targets
//     that shed some of their requests are asked before those that break them, for orders also if healthy ones are
//     full.
//   - A pool that sheds as a whole: after a few refusals of shedding targets the request is forced on one of them. In a
//     large pool it would otherwise reach its limit of refusals before any target is offered the request.
func (p *picker) pick() (placement, bool) {
	steps := []func() (int, mode){
		p.homeTarget, p.sheddingTarget, p.ownZoneProbe, p.ownZoneQueueByGoal, p.crossZoneProbe, p.chargeableTarget,
		p.crossZoneQueueByGoal, p.ownZoneQueueByDeadline, p.crossZoneQueueByDeadline, p.unprobedTarget, p.suspectTarget,
	}
	if len(p.request.live) > 0 {
		// A hedged attempt helps only if it starts at once.
		steps = []func() (int, mode){p.ownZoneProbe, p.crossZoneProbe}
	}
	for _, step := range steps {
		if i, m := step(); i >= 0 {
			return placement{candidate: p.candidates[i], mode: m}, true
		}
	}
	return placement{}, false
}

// ownZoneProbe returns a target of the own zone to be asked for a slot.
func (p *picker) ownZoneProbe() (int, mode) {
	return p.probeTarget(true), probing
}

// crossZoneProbe returns a target of another zone to be asked for a slot.
func (p *picker) crossZoneProbe() (int, mode) {
	return p.probeTarget(false), probing
}

// sheddingTarget returns a target that sheds, once the pool seems to shed as a whole.
func (p *picker) sheddingTarget() (int, mode) {
	shed := 0
	for _, r := range p.request.refusals {
		switch {
		case r.cause == fleet.Overloaded:
			return -1, forced
		case p.pool.target(r.target).health == fleet.Shedding:
			shed++
		}
	}
	if shed < minShedRefusals {
		return -1, forced
	}
	return p.suspectTarget()
}

// chargeableTarget returns a target that has recently failed, to be asked to charge the attempt to its share of the retry
// budget.
func (p *picker) chargeableTarget() (int, mode) {
	if !p.request.refusedForBudget() || len(p.request.refusals) >= maxProbes {
		return -1, probing
	}
	for _, ownZone := range []bool{true, false} {
		var buffer [usualPoolSize]int32
		for _, i := range p.inZone(ownZone, buffer[:0]) {
			if p.untried(int(i)) && p.ctx.Now.Before(p.targetView(int(i)).suspectUntil) {
				return int(i), probing
			}
		}
	}
	return -1, probing
}

// probeTarget returns a target that the request has not been sent to and that is not known to be full.
func (p *picker) probeTarget(ownZone bool) int {
	if len(p.request.refusals) >= maxProbes {
		return -1
	}
	var buffer [usualPoolSize]int32
	i, load := p.lessLoadedOfTwo(p.inZone(ownZone, buffer[:0]))
	if i < 0 || load >= fullUtilization {
		return -1
	}
	return i
}

// ownZoneQueueByGoal returns the target of the own zone with the shortest queue, if that still meets the latency goal.
func (p *picker) ownZoneQueueByGoal() (int, mode) {
	return p.queueTarget(true, p.request.template.Goal.Add(-p.usualDuration())), waiting
}

// crossZoneQueueByGoal is ownZoneQueueByGoal for the other zones.
func (p *picker) crossZoneQueueByGoal() (int, mode) {
	return p.queueTarget(false, p.request.template.Goal.Add(-p.usualDuration())), waiting
}

// ownZoneQueueByDeadline returns the target of the own zone with the shortest queue, if the wait there ends before the deadline.
func (p *picker) ownZoneQueueByDeadline() (int, mode) {
	return p.queueTarget(true, p.request.template.Deadline), waiting
}

// crossZoneQueueByDeadline is ownZoneQueueByDeadline for the other zones.
func (p *picker) crossZoneQueueByDeadline() (int, mode) {
	return p.queueTarget(false, p.request.template.Deadline), waiting
}

// unprobedTarget returns a target that was not asked for a slot because it is known to be full.
func (p *picker) unprobedTarget() (int, mode) {
	var buffer [usualPoolSize]int32
	if i, _ := p.lessLoadedOfTwo(p.inZone(true, buffer[:0])); i >= 0 {
		return i, waiting
	}
	i, _ := p.lessLoadedOfTwo(p.inZone(false, buffer[:0]))
	return i, waiting
}

// queueTarget returns the target with the shortest queue among those of the own zone, or of the others, that refused a
// probe because they were full; -1 if the wait there would end after latest.
func (p *picker) queueTarget(ownZone bool, latest time.Time) int {
	best, shortest := -1, time.Duration(0)
	for _, r := range p.request.refusals {
		if r.cause != fleet.Overloaded || r.mode != probing || r.ownZone != ownZone {
			continue
		}
		if p.request.queueRefusedBy(r.target) || p.request.hasTried(r.target) {
			continue
		}
		if i := p.indexOf(r.target); i >= 0 && (best < 0 || r.queueWait < shortest) {
			best, shortest = i, r.queueWait
		}
	}
	if p.ctx.Now.Add(shortest).After(latest) {
		return -1
	}
	return best
}

// suspectTarget returns a target that has recently failed, or one whose remembered refusal may be out of date. Targets
// that only shed come first, since a request that they shed has not run.
func (p *picker) suspectTarget() (int, mode) {
	// If healthy targets are left but full, an order is refused rather than forced on a faulty target: a refused order may be
	// sent again, but after a broken attempt it is unknown whether the order ran.
	_, full := p.request.shortestQueue()
	onlyShedding := full && !p.request.template.Idempotent
	best := -1
	var lowest float64
	for i := range p.candidates {
		v := p.targetView(i)
		if p.request.hasTried(p.candidates[i].Target.ID) || p.request.finallyRefusedBy(p.candidates[i].Target.ID) {
			continue
		}
		if onlyShedding && v.health != fleet.Shedding {
			continue
		}
		if load := p.utilization(i, v) + p.forcingCost(i, v); best < 0 || load < lowest {
			best, lowest = i, load
		}
	}
	return best, forced
}

// forcingCost returns the penalty for forcing a request on a target, in requests per slot.
func (p *picker) forcingCost(i int, v *targetView) float64 {
	cost := 0.0
	if p.candidates[i].AvailabilityZone != p.state.zone {
		cost += crossZoneCost
	}
	if v.health != fleet.Shedding {
		cost += faultyCost
	}
	return cost
}

// usualDuration returns how long a request of the class usually runs; 0 if not known yet.
func (p *picker) usualDuration() time.Duration {
	return p.pool.baselines[p.request.template.Class].value
}

func (p *picker) indexOf(id fleet.TargetID) int {
	for i := range p.candidates {
		if p.candidates[i].Target.ID == id {
			return i
		}
	}
	return -1
}
