package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// costDraws is the number of random targets that are compared. A choice among all targets would be the same on all ingresses
	// until the next report.
	costDraws = 6
	// crossZoneTime is the round trip to another zone.
	crossZoneTime = 4 * time.Millisecond
	// maxCrossings bounds the attempts of one request that are sent to other zones. Each costs the bytes of the request.
	maxCrossings = 2
	// freeWait is the expected wait below which a target is asked for a free slot.
	freeWait = time.Millisecond
)

// costSteps are the steps of pick for placement by cost:
//
//   - The target of the own zone that completes the request first, of those that may have a free slot, is asked for it.
//   - If all are known to be full, the request waits in the queue of the own zone that completes it first, if that meets the latency
//     goal. Callers gain nothing from an earlier response, while each attempt in another zone costs the bytes of the request.
//   - Otherwise it goes to the target of another zone that is expected to meet the goal, and may wait there. Zones that have
//     reported longer waits are not asked.
//   - If no target can meet the goal, it waits in the own zone until the deadline if that zone may accept it, and is refused
//     otherwise.
func (p *picker) costSteps() []func() (int, mode) {
	if len(p.request.inFlight) > 0 {
		return []func() (int, mode){p.ownZoneProbeByCost, p.ownZoneQueueForHedge, p.crossZoneHedgeByCost}
	}
	return []func() (int, mode){
		p.homeTarget, p.sheddingTarget, p.ownZoneProbeByCost, p.ownZoneQueueByCost, p.crossZoneByCost, p.chargeableTarget,
		p.lastQueueByCost, p.suspectTargetByCost,
	}
}

// expectedTime returns the time until a request would be complete on a target, the part of it that it waits, and whether the wait is
// known. Nothing is known of a target in another zone without a recent report, except what others in its zone have reported.
func (p *picker) expectedTime(i int) (total, wait time.Duration, known bool) {
	v, candidate := p.targetView(i), &p.candidates[i]
	class := p.request.template.Class
	wait, known = p.pool.expectedWait(p.ctx.Now, v, class, candidate.Target.Slots)
	total = p.pool.runTime(v, class)
	if candidate.AvailabilityZone != p.state.zone {
		total += crossZoneTime
		if !known {
			zone, _ := p.pool.costs.zones.Get(candidate.AvailabilityZone)
			wait = zone.Wait(p.ctx.Now)
		}
	}
	return total + wait, wait, known
}

// fastest returns the target that completes the request first, of costDraws random ones that accept allows; -1 if there is none.
func (p *picker) fastest(among []int32, accept func(i int, wait time.Duration, known bool) bool) (int, time.Duration) {
	best, shortest := -1, time.Duration(0)
	consider := func(i int) {
		if !p.eligible(i, p.targetView(i)) {
			return
		}
		total, wait, known := p.expectedTime(i)
		if (best < 0 || total < shortest) && accept(i, wait, known) {
			best, shortest = i, total
		}
	}
	if len(among) <= costDraws {
		start := 0
		if len(among) > 0 {
			start = int(p.random.next() % uint64(len(among)))
		}
		for n := range among {
			consider(int(among[(start+n)%len(among)]))
		}
		return best, shortest
	}
	for range costDraws {
		consider(int(among[p.random.next()%uint64(len(among))]))
	}
	return best, shortest
}

// ownZoneProbeByCost returns the target of the own zone to be asked for a free slot.
func (p *picker) ownZoneProbeByCost() (int, mode) {
	if len(p.request.refusals) >= maxProbes {
		return -1, probing
	}
	i, _ := p.fastest(p.ownZone, func(_ int, wait time.Duration, _ bool) bool { return wait < freeWait })
	return i, probing
}

// ownZoneQueueByCost returns the target of the own zone whose queue completes the request first, if that meets the goal.
func (p *picker) ownZoneQueueByCost() (int, mode) {
	i, total := p.bestQueue()
	if i < 0 || p.ctx.Now.Add(total+p.margin()).After(p.request.template.Goal) {
		return -1, waiting
	}
	return i, waiting
}

// margin is the time by which an expected completion must precede the goal: a run often takes longer than the mean.
func (p *picker) margin() time.Duration {
	return max(p.pool.costs.means[p.request.template.Class]/2, p.request.template.Goal.Sub(p.request.received)/2)
}

// bestQueue returns the target of the own zone, of those that are full, whose queue completes the request first, and when.
func (p *picker) bestQueue() (int, time.Duration) {
	best, shortest := p.fastest(p.ownZone, func(_ int, wait time.Duration, known bool) bool { return known && wait > 0 })
	for _, r := range p.request.refusals {
		if r.cause != fleet.Overloaded || r.mode != probing || !r.ownZone ||
			p.request.queueRefusedBy(r.target) || p.request.hasTried(r.target) {
			continue
		}
		i := p.indexOf(r.target)
		if i < 0 {
			continue
		}
		total, _, _ := p.expectedTime(i)
		if best < 0 || total < shortest {
			best, shortest = i, total
		}
	}
	return best, shortest
}

// crossZoneByCost returns the target of another zone that completes the request first, if that meets the goal, or the deadline if
// the target may have a free slot.
func (p *picker) crossZoneByCost() (int, mode) {
	i, total := p.fastestElsewhere()
	if i < 0 {
		return -1, waiting
	}
	latest := p.request.template.Goal
	if _, wait, _ := p.expectedTime(i); wait < freeWait {
		latest = p.request.template.Deadline
	}
	if p.ctx.Now.Add(total).After(latest) {
		return -1, waiting
	}
	return i, waiting
}

// crossZoneHedgeByCost returns a target of another zone for a hedged attempt, if one may have a free slot.
func (p *picker) crossZoneHedgeByCost() (int, mode) {
	i, _ := p.fastestElsewhere()
	if i < 0 {
		return -1, probing
	}
	if _, wait, _ := p.expectedTime(i); wait >= freeWait {
		return -1, probing
	}
	return i, probing
}

func (p *picker) fastestElsewhere() (int, time.Duration) {
	if p.request.crossings >= maxCrossings {
		return -1, 0
	}
	var buffer [indexBufferSize]int32
	return p.fastest(p.candidateIndices(false, buffer[:0]), func(int, time.Duration, bool) bool { return true })
}

// lastQueueByCost returns the best queue of the own zone although the goal is not expected to be met, unless a queue there has
// refused the request already. Without an eligible target in the own zone, it returns one of another zone.
func (p *picker) lastQueueByCost() (int, mode) {
	for _, r := range p.request.refusals {
		if r.cause == fleet.Overloaded && r.mode == waiting && r.ownZone {
			return -1, waiting
		}
	}
	if i, _ := p.bestQueue(); i >= 0 {
		return i, waiting
	}
	if i, _ := p.lessLoadedOfTwo(p.ownZone); i >= 0 {
		return i, waiting
	}
	if p.request.crossings > 0 {
		return -1, waiting
	}
	i, _ := p.fastestElsewhere()
	return i, waiting
}

// suspectTargetByCost returns a target that has recently failed, as suspectTarget does, but no target that is only full.
func (p *picker) suspectTargetByCost() (int, mode) {
	if _, full := p.request.shortestQueue(); full {
		return -1, forced
	}
	return p.suspectTarget()
}
