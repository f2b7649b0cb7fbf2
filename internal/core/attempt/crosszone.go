package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// minZoneTargets is the number of targets of the own zone from which crossings are limited. With two or three targets, one that fails
	// leaves too little capacity in the zone: on a site with two per zone and pool, 3 in 100 more requests failed.
	minZoneTargets = 4
	// maxCrossZoneCredit is the number of refusals by targets of other zones that an ingress accepts in a row for a pool. In light
	// load a request crosses zones because of a single failing or full target, and the first or second target there takes it.
	maxCrossZoneCredit = 3
	// crossZoneRefill is the credit that returns per second. While a whole pool sheds or is full, nine of ten requests that cross
	// zones are refused there as well; one attempt in two seconds is enough to notice that this has ended.
	crossZoneRefill = 0.5
	// maxLastResorts is the number of refusals by other zones up to which a request that would otherwise be refused crosses zones
	// without credit.
	maxLastResorts = 2
)

// crossZoneCredit limits the attempts of one pool that this ingress sends to other availability zones, by what becomes of them: a
// refusal takes 1, and an attempt that a target has run returns 1. The zero value is full.
type crossZoneCredit struct {
	spent     float64
	updatedAt time.Time
}

// available returns the credit at the given time.
func (c crossZoneCredit) available(now time.Time) float64 {
	return maxCrossZoneCredit - c.spentAt(now)
}

func (c crossZoneCredit) spentAt(now time.Time) float64 {
	return max(c.spent-crossZoneRefill*now.Sub(c.updatedAt).Seconds(), 0)
}

// withOutcome returns the credit after an attempt in another zone has ended.
func (c crossZoneCredit) withOutcome(now time.Time, verdict fleet.Verdict) crossZoneCredit {
	change := -1.0
	if verdict == fleet.NotRun {
		change = 1
	}
	spent := min(max(c.spentAt(now)+change, 0), maxCrossZoneCredit)
	return crossZoneCredit{spent: spent, updatedAt: now}
}

// WithMeteredZones returns the state in which traffic between availability zones is metered or not.
func (s State) WithMeteredZones(metered bool) State {
	s.meteredZones = metered
	return s
}

// withCrossZoneOutcome records how an attempt in another zone ended.
func (s State) withCrossZoneOutcome(now time.Time, pool fleet.PoolName, verdict fleet.Verdict) State {
	next := *s.pool(pool)
	next.crossZone = next.crossZone.withOutcome(now, verdict)
	return s.withPool(pool, &next)
}

// mayCrossZones reports whether the request may be sent to another availability zone. Those of a zone with few targets always may.
func (p *picker) mayCrossZones() bool {
	if !p.state.meteredZones || len(p.ownZone) < minZoneTargets {
		return true
	}
	if p.pool.crossZone.available(p.ctx.Now) >= 1 {
		return true
	}
	return p.lastResort && p.request.refusedByOtherZones() < maxLastResorts
}

// refusedByOtherZones returns the number of attempts of the request that targets of other zones refused.
func (req activeRequest) refusedByOtherZones() int {
	count := 0
	for _, r := range req.refusals {
		if !r.ownZone {
			count++
		}
	}
	return count
}
