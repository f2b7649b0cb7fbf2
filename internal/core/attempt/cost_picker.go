package attempt

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/cost"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// costDraws is the number of random targets that are compared. A choice among all targets would be the same on all ingresses
	// until the next report.
	costDraws = 6
	// crossZoneTime is the round trip to another zone.
	crossZoneTime = 4 * time.Millisecond
	// maxCrossings bounds the attempts of one request that full targets of other zones refuse. Each costs the bytes of the request.
	maxCrossings = 2
	// maxBriefAttempts bounds the attempts of one request to wait briefly. If the best two queues of the zone are too long, so are
	// the others.
	maxBriefAttempts = 2
	// similarWait is the factor by which the expected wait in another zone must be shorter than in the own zone while both meet the
	// goal. In an overload of the whole pool, the waits are out of date and all zones send requests to each other.
	similarWait = 8
	// freeWait is the expected wait below which a target is asked for a free slot.
	freeWait = time.Millisecond
)

// costSteps are the steps of pick for placement by cost:
//
//   - The target of the own zone that completes the request first, of those that may have a free slot, is asked for it.
//   - If all are known to be full, the request waits in the queue of the own zone that completes it first, if the wait leaves enough
//     time to the latency goal. Callers gain nothing from an earlier response, while each attempt in another zone costs the bytes of the request.
//   - Otherwise it goes to the target of another zone that is expected to meet the goal, and may wait there. Zones that have
//     reported longer waits are not asked.
//   - While targets of the own zone fail, waits change too fast for these limits, and other zones are asked regardless of them.
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
	total = p.pool.runTime(p.ctx.Now, v, class)
	if candidate.AvailabilityZone != p.state.zone {
		total += crossZoneTime
		if !known {
			zone, _ := p.pool.costs.zones.Get(candidate.AvailabilityZone)
			wait = zone.Decayed(p.ctx.Now)
		}
	}
	return total + wait, wait, known
}

// estimate is a target with the expected time until a request is complete on it, and the part of it that the request waits. Its index
// is -1 if there is no target.
type estimate struct {
	index       int
	total, wait time.Duration
}

// costChoice holds the targets that complete a request first among random ones: the fastest of those that may have a free slot and of
// those that are known to be full.
type costChoice struct {
	free, full estimate
	// suspect is true if one of them has recently failed.
	suspect bool
}

func (c *costChoice) consider(e estimate, known bool) {
	best := &c.free
	if e.wait >= freeWait {
		if best = &c.full; !known {
			return
		}
	}
	if best.index < 0 || e.total < best.total {
		*best = e
	}
}

// choose compares costDraws random eligible targets.
func (p *picker) choose(among []int32, assumeKnown bool) costChoice {
	c := costChoice{free: estimate{index: -1}, full: estimate{index: -1}}
	if len(among) == 0 {
		return c
	}
	start := int(p.random.next() % uint64(len(among)))
	for n := range min(len(among), costDraws) {
		i := int(among[(start+n)%len(among)])
		if len(among) > costDraws {
			i = int(among[p.random.next()%uint64(len(among))])
		}
		v := p.targetView(i)
		c.suspect = c.suspect || p.avoids(v)
		if p.eligible(i, v) {
			total, wait, known := p.expectedTime(i)
			c.consider(estimate{index: i, total: total, wait: wait}, known || assumeKnown)
		}
	}
	return c
}

// chooseElsewhere compares random targets of other zones. In a large pool, it draws among all targets instead of listing those of the
// other zones.
func (p *picker) chooseElsewhere() costChoice {
	var buffer [indexBufferSize]int32
	if len(p.candidates) <= indexBufferSize/2 {
		return p.choose(p.candidateIndices(false, buffer[:0]), true)
	}
	drawn := buffer[:0]
	for range 2 * costDraws {
		i := int32(p.random.next() % uint64(len(p.candidates)))
		if p.candidates[i].AvailabilityZone != p.state.zone && len(drawn) < costDraws {
			drawn = append(drawn, i)
		}
	}
	return p.choose(drawn, true)
}

// ownZoneChoice returns the targets of the own zone to choose from. They are compared once for all steps of a choice.
func (p *picker) ownZoneChoice() *costChoice {
	if !p.ownZoneChosen {
		p.ownChoice, p.ownZoneChosen = p.choose(p.ownZone, false), true
	}
	return &p.ownChoice
}

// ownZoneProbeByCost returns the target of the own zone to be asked for a free slot.
func (p *picker) ownZoneProbeByCost() (int, mode) {
	if len(p.request.refusals) >= maxProbes {
		return -1, probing
	}
	return p.ownZoneChoice().free.index, probing
}

// ownZoneQueueByCost returns the target of the own zone whose queue completes the request first, if the wait is brief.
func (p *picker) ownZoneQueueByCost() (int, mode) {
	asked := 0
	for _, r := range p.request.refusals {
		if r.mode == briefly {
			asked++
		}
	}
	if asked >= maxBriefAttempts {
		return -1, briefly
	}
	best := p.bestQueue(probing)
	if best.index < 0 {
		return -1, briefly
	}
	run, toGoal := best.total-best.wait, p.request.template.Goal.Sub(p.ctx.Now)
	if run < toGoal && !cost.WaitsBriefly(best.wait, run, toGoal) {
		return -1, briefly
	}
	return best.index, briefly
}

// bestQueue returns the target of the own zone, of those that are full, whose queue completes the request first. It leaves out targets
// that have refused the request in another mode than those given.
func (p *picker) bestQueue(refusedIn ...mode) estimate {
	best := p.ownZoneChoice().full
	for _, r := range p.request.refusals {
		if r.cause != fleet.Overloaded || !r.ownZone || p.request.hasTried(r.target) || p.request.refusedInOther(r.target, refusedIn) {
			continue
		}
		i := p.indexOf(r.target)
		if i < 0 {
			continue
		}
		if total, wait, _ := p.expectedTime(i); best.index < 0 || total < best.total {
			best = estimate{index: i, total: total, wait: wait}
		}
	}
	return best
}

// refusedInOther reports whether a target has refused the request in a mode other than those given.
func (req activeRequest) refusedInOther(id fleet.TargetID, modes []mode) bool {
	return slices.ContainsFunc(req.refusals, func(r refusal) bool { return r.target == id && !slices.Contains(modes, r.mode) })
}

// fullElsewhere returns the number of attempts that full targets of other zones have refused.
func (req activeRequest) fullElsewhere() int {
	full := 0
	for _, r := range req.refusals {
		if r.cause == fleet.Overloaded && !r.ownZone {
			full++
		}
	}
	return full
}

// crossZoneByCost returns the target of another zone that completes the request first, if that meets the goal, or the deadline if
// the target may have a free slot.
func (p *picker) crossZoneByCost() (int, mode) {
	e := p.fastestElsewhere()
	if e.index < 0 {
		return -1, waiting
	}
	latest := p.request.template.Goal
	if e.wait < freeWait {
		latest = p.request.template.Deadline
	}
	isLate := p.ctx.Now.Add(e.total).After(latest)
	if !p.ownZoneChoice().suspect && (isLate || p.waitIsSimilar(e)) {
		return -1, waiting
	}
	return e.index, waiting
}

// waitIsSimilar reports whether a queue of the own zone meets the goal and a target of another zone is not expected to have a much
// shorter wait, as in an overload of the whole pool.
func (p *picker) waitIsSimilar(elsewhere estimate) bool {
	own := p.bestQueue(probing, briefly)
	if own.index < 0 || p.ctx.Now.Add(own.total).After(p.request.template.Goal) {
		return false
	}
	return elsewhere.wait > own.wait/similarWait
}

// crossZoneHedgeByCost returns a target of another zone for a hedged attempt, if one may have a free slot.
func (p *picker) crossZoneHedgeByCost() (int, mode) {
	if e := p.fastestElsewhere(); e.wait < freeWait {
		return e.index, probing
	}
	return -1, probing
}

func (p *picker) fastestElsewhere() estimate {
	if p.request.fullElsewhere() >= maxCrossings && !p.ownZoneChoice().suspect {
		return estimate{index: -1}
	}
	c := p.chooseElsewhere()
	if c.free.index < 0 || c.full.index >= 0 && c.full.total < c.free.total {
		return c.full
	}
	return c.free
}

// lastQueueByCost returns the best queue of the own zone although the goal is not expected to be met, unless a queue there has
// refused the request already. Without an eligible target in the own zone, it returns one of another zone.
func (p *picker) lastQueueByCost() (int, mode) {
	for _, r := range p.request.refusals {
		if r.cause == fleet.Overloaded && r.mode == waiting && r.ownZone {
			return -1, waiting
		}
	}
	if best := p.bestQueue(probing, briefly); best.index >= 0 {
		return best.index, waiting
	}
	if i, _ := p.lessLoadedOfTwo(p.ownZone); i >= 0 {
		return i, waiting
	}
	if p.request.fullElsewhere() > 0 {
		return -1, waiting
	}
	return p.fastestElsewhere().index, waiting
}

// suspectTargetByCost returns a target that has recently failed, as suspectTarget does. If all targets are only full, it returns none:
// they would refuse a forced attempt as well.
func (p *picker) suspectTargetByCost() (int, mode) {
	if _, full := p.request.shortestQueue(); full && !p.anySuspect() {
		return -1, forced
	}
	return p.suspectTarget()
}

func (p *picker) anySuspect() bool {
	for i := range p.candidates {
		if p.ctx.Now.Before(p.targetView(i).suspectUntil) {
			return true
		}
	}
	return false
}
