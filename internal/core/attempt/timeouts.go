package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// slowFactor is the multiple of the pool's p95 after which a lookup is hedged. A caller notices a response that takes
	// three times the healthy p99, so the hedged attempt must respond before that.
	slowFactor = 1.5
	// lostFactor is the multiple of the pool's p95 after which an idempotent attempt counts as lost. minLostFactor is the lower
	// bound of that multiple, which applies if the pool is slow compared with the deadlines of its requests: with a lower one,
	// most canceled attempts would have almost finished.
	lostFactor    = 10
	minLostFactor = 2
	// slowDivisor and lostDivisor bound the time after which an attempt is slow or lost to a fraction of the remaining time, so
	// that a second attempt still has time.
	slowDivisor = 4
	lostDivisor = 2
	// minSlow and minLost are lower bounds that keep the jitter of a very fast pool from using up the retry budget.
	minSlow = 5 * time.Millisecond
	minLost = 200 * time.Millisecond
)

// attemptTimeouts is how long an idempotent attempt may take before it is hedged, and before it is canceled while another
// attempt is in flight.
type attemptTimeouts struct{ slow, lost time.Duration }

// timeoutsFor returns the timeouts of an attempt with the given remaining time. While the pool's p95 is unknown, no
// attempt counts as lost. Requests between targets are short and frequent, so they are hedged only once they count as
// lost.
func timeoutsFor(attempt fleet.Attempt, remaining time.Duration) attemptTimeouts {
	p95 := attempt.Baseline
	if p95 == 0 {
		timeouts := attemptTimeouts{slow: remaining / lostDivisor, lost: remaining}
		if attempt.Class == fleet.Lookup {
			timeouts.slow = remaining / slowDivisor
		}
		return timeouts
	}
	lost := clamp(scaled(p95, lostFactor), max(minLost, minLostFactor*p95), remaining/lostDivisor)
	if attempt.Class != fleet.Lookup {
		return attemptTimeouts{slow: lost, lost: lost}
	}
	return attemptTimeouts{slow: clamp(scaled(p95, slowFactor), max(minSlow, p95), remaining/slowDivisor), lost: lost}
}

func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// clamp returns d limited to at most high, but never less than low.
func clamp(d, low, high time.Duration) time.Duration { return max(min(d, high), low) }
