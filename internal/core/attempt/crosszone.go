package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// maxCrossZoneCredit is the number of refusals by targets of other zones that an ingress accepts in a row for a pool. In light
	// load a request crosses zones because of a single failing or full target, and the first or second target there takes it.
	maxCrossZoneCredit = 3
	// crossZoneRefill is the credit that returns per second. While a whole pool sheds or is full, nine of ten requests that cross
	// zones are refused there as well; one attempt in two seconds is enough to notice that this has ended.
	crossZoneRefill = 0.5
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

// mayCrossZones reports whether the request may be sent to another availability zone. A zone without targets of its own always
// sends its requests to others.
func (p *picker) mayCrossZones() bool {
	if !p.state.meteredZones || len(p.ownZone) == 0 {
		return true
	}
	return p.pool.crossZone.available(p.ctx.Now) >= 1
}
