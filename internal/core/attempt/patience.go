package attempt

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// slowFactor is how many times the pool's p95 a lookup waits before it is sent to a second target. A caller notices
	// an answer after three times the healthy p99, so the second target must answer before that.
	slowFactor = 1.5
	// lostFactor is how many times the pool's p95 an idempotent attempt may take; leastLost is the same for a pool that is
	// slow beside the deadlines of its requests: an attempt that is given up sooner has mostly run almost to its end.
	lostFactor = 10
	leastLost  = 2
	// slowPart and lostPart are the parts of the time left after which an attempt is slow and lost in any case, so that a
	// second one still has time.
	slowPart = 4
	lostPart = 2
	// minSlow and minLost keep the noise of a very fast pool from spending the retry budget.
	minSlow = 5 * time.Millisecond
	minLost = 200 * time.Millisecond
)

// patience is how long an idempotent attempt may take before a second target is asked, and before it is given up while the
// second one is at work.
type patience struct{ slow, lost time.Duration }

// patienceOf returns the patience with an attempt that has some time left. While the pool's p95 is not known nothing says
// that the attempt is lost. Calls of targets among themselves are short and many, so that they are repeated only when they
// are as good as lost.
func patienceOf(attempt fleet.Attempt, remaining time.Duration) patience {
	usual := attempt.Baseline
	if usual == 0 {
		p := patience{slow: remaining / lostPart, lost: remaining}
		if attempt.Class == fleet.Lookup {
			p.slow = remaining / slowPart
		}
		return p
	}
	lost := within(times(usual, lostFactor), max(minLost, leastLost*usual), remaining/lostPart)
	if attempt.Class != fleet.Lookup {
		return patience{slow: lost, lost: lost}
	}
	return patience{slow: within(times(usual, slowFactor), max(minSlow, usual), remaining/slowPart), lost: lost}
}

func times(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// within returns a duration that is at most high, and at least low even where that is more.
func within(d, low, high time.Duration) time.Duration { return max(min(d, high), low) }
