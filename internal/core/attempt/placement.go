package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// mode is how a target is asked to take an attempt.
type mode uint8

const (
	// probing asks for a free slot. A target that is full or has just failed refuses immediately, and another one is asked.
	// Within an availability zone a refusal costs a fraction of a millisecond, and the choice does not rely on a stale view of
	// the target.
	probing mode = iota
	// waiting accepts a position in the target's queue.
	waiting
	// briefly accepts a position in the target's queue if the expected wait leaves enough time to the goal.
	briefly
	// forced accepts a queue position and a target that has recently failed, because no healthy target takes the request.
	forced
)

const (
	// maxProbes bounds the targets that are asked for a free slot. If that many are full, the whole pool is assumed to be full.
	maxProbes = 8
	// minShedRefusals is the number of shedding targets that must have refused a request, without a refusal by a full target,
	// before the whole pool is assumed to shed. If a third of the targets shed and the others are healthy, this happens to 1
	// request in 27.
	minShedRefusals = 3
)

// placement is the target and the mode of an attempt.
type placement struct {
	candidate fleet.Candidate
	mode      mode
}

// refusal is an attempt that did not run, with the verdict NotRun.
type refusal struct {
	target fleet.TargetID
	cause  fleet.Cause
	mode   mode
	// ownZone is true if the target is in the ingress's own availability zone.
	ownZone bool
	// queueWait is the expected wait in the target's queue that was reported with the refusal.
	queueWait time.Duration
}

// pick returns the placement of a request's next attempt. The order of its steps covers seven situations:
//
//   - Light load with occasional failures of targets: a free target of the own availability zone is asked, and the next
//     one as soon as it refuses. Another zone is asked only if no target of the own zone takes the request.
//   - A burst that fills the own zone: the request waits there as long as its response can still meet the latency goal,
//     because traffic between zones is expensive. Otherwise it goes to a free target of another zone, or to a queue
//     there that meets the goal.
//   - An overload of the whole pool: no queue meets the goal, so sending the request to another zone gains nothing. It
//     waits in its own zone as long as there is time to run it.
//   - A pool of which most targets fail: the healthy ones have spent their shares of the retry budget, so a failing one
//     is asked to charge the attempt to its own share.
//   - A pool that fails as a whole: if only suspect targets are left, the request is forced on one of them. Targets
//     that shed some of their requests are preferred to those that break them. While healthy targets are only full, an
//     order is forced only on a shedding target.
//   - A pool that sheds as a whole: after a few refusals by shedding targets the request is forced on one of them. In a
//     large pool it would otherwise reach its limit of refusals before it is forced on any target.
//   - A full pool of which some targets hang: a request that one of them holds finds no free slot elsewhere, since the slots that
//     become free go to queued requests. Its hedged attempt therefore waits in a queue of the own zone as well.
func (p *picker) pick() (placement, bool) {
	steps := []func() (int, mode){
		p.homeTarget, p.sheddingTarget, p.ownZoneProbe, p.ownZoneQueueByGoal, p.crossZoneProbe, p.chargeableTarget,
		p.crossZoneQueueByGoal, p.ownZoneQueueByDeadline, p.crossZoneQueueByDeadline, p.unprobedTarget, p.suspectTarget,
	}
	if len(p.request.inFlight) > 0 {
		steps = []func() (int, mode){p.ownZoneProbe, p.crossZoneProbe, p.ownZoneQueueForHedge}
	}
	if p.state.byCost {
		steps = p.costSteps()
	}
	if chosen, ok := p.firstOf(steps); ok || p.mayCrossZones() || len(p.request.inFlight) > 0 {
		return chosen, ok
	}
	p.lastResort = true
	return p.firstOf(steps)
}

// firstOf returns the placement of the first step that finds a target.
func (p *picker) firstOf(steps []func() (int, mode)) (placement, bool) {
	for _, step := range steps {
		if i, m := step(); i >= 0 {
			return placement{candidate: p.candidates[i], mode: m}, true
		}
	}
	return placement{}, false
}

// ownZoneProbe returns a target of the own zone to be probed.
func (p *picker) ownZoneProbe() (int, mode) {
	return p.probeTarget(true), probing
}

// crossZoneProbe returns a target of another zone to be probed.
func (p *picker) crossZoneProbe() (int, mode) {
	return p.probeTarget(false), probing
}

// sheddingTarget returns a suspect target, with shedding ones preferred, once the whole pool is assumed to shed.
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

// chargeableTarget returns a suspect target that may charge the attempt to its share of the retry budget.
func (p *picker) chargeableTarget() (int, mode) {
	if !p.request.refusedForBudget() || len(p.request.refusals) >= maxProbes {
		return -1, probing
	}
	for _, ownZone := range []bool{true, false} {
		var buffer [indexBufferSize]int32
		for _, i := range p.candidateIndices(ownZone, buffer[:0]) {
			if p.untried(int(i)) && p.ctx.Now.Before(p.targetView(int(i)).suspectUntil) {
				return int(i), probing
			}
		}
	}
	return -1, probing
}

// probeTarget returns an eligible target that is not known to be full; -1 if there is none.
func (p *picker) probeTarget(ownZone bool) int {
	if len(p.request.refusals) >= maxProbes {
		return -1
	}
	var buffer [indexBufferSize]int32
	i, load := p.lessLoadedOfTwo(p.candidateIndices(ownZone, buffer[:0]))
	if i < 0 || load >= fullUtilization {
		return -1
	}
	return i
}

// ownZoneQueueByGoal returns the target of the own zone with the shortest queue, if that still meets the latency goal.
func (p *picker) ownZoneQueueByGoal() (int, mode) {
	return p.queueTarget(true, p.request.template.Goal.Add(-p.baselineDuration())), waiting
}

// crossZoneQueueByGoal is ownZoneQueueByGoal for the other zones.
func (p *picker) crossZoneQueueByGoal() (int, mode) {
	return p.queueTarget(false, p.request.template.Goal.Add(-p.baselineDuration())), waiting
}

// ownZoneQueueByDeadline returns the target of the own zone with the shortest queue, if the wait there ends before the deadline.
func (p *picker) ownZoneQueueByDeadline() (int, mode) {
	return p.queueTarget(true, p.request.template.Deadline), waiting
}

// crossZoneQueueByDeadline is ownZoneQueueByDeadline for the other zones.
func (p *picker) crossZoneQueueByDeadline() (int, mode) {
	return p.queueTarget(false, p.request.template.Deadline), waiting
}

// ownZoneQueueForHedge returns the target of the own zone with the shortest queue, if a hedged attempt that waits there can end before
// the deadline. It returns none while the attempt in flight waits in a queue itself: a second position is of little use.
func (p *picker) ownZoneQueueForHedge() (int, mode) {
	if m := p.request.inFlight[0].mode; m == waiting || m == briefly {
		return -1, waiting
	}
	return p.queueTarget(true, p.request.template.Deadline.Add(-p.baselineDuration())), waiting
}

// unprobedTarget returns an eligible target that was not probed because it is known to be full or maxProbes was reached.
func (p *picker) unprobedTarget() (int, mode) {
	var buffer [indexBufferSize]int32
	if i, _ := p.lessLoadedOfTwo(p.candidateIndices(true, buffer[:0])); i >= 0 {
		return i, waiting
	}
	i, _ := p.lessLoadedOfTwo(p.candidateIndices(false, buffer[:0]))
	return i, waiting
}

// queueTarget returns the target with the shortest queue among those of the own zone, or of the others, that refused a
// probe because they were full; -1 if the wait there would end after latest.
func (p *picker) queueTarget(ownZone bool, latest time.Time) int {
	if !ownZone && !p.mayCrossZones() {
		return -1
	}
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

// suspectTarget returns a target that has recently failed, or one whose last refusal may be out of date. Targets that only
// shed requests are preferred, since a request that they shed has not run.
func (p *picker) suspectTarget() (int, mode) {
	// If healthy targets are left but full, an order is refused rather than forced on a faulty target: a refused order may be
	// sent again, but after a broken attempt it is unknown whether the order ran.
	_, full := p.request.shortestQueue()
	onlyShedding := full && !p.request.template.Idempotent
	best := -1
	var lowest float64
	mayCross := p.mayCrossZones()
	for i := range p.candidates {
		if !mayCross && p.candidates[i].AvailabilityZone != p.state.zone {
			continue
		}
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
	cost += suspectCosts[v.health]
	return cost
}

// baselineDuration returns the pool's baseline for the request's class; 0 if it is not known yet.
func (p *picker) baselineDuration() time.Duration {
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
