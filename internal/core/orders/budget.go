package orders

import "time"

// The limits of a node's claim budget. The platform accepts several hundred writes per second; 540 nodes with 0.4 claims and as
// many releases per second each stay below 450. The burst lets a small fleet claim all of its orders.
const (
	claimsPerSecond = 0.4
	claimBurst      = 60.0
)

// outagePause is how long no claims are made after a failed one, so that an outage does not delay every order by a timeout.
const outagePause = 10 * time.Second

// claimBudget is a token bucket driven by event time.
type claimBudget struct {
	tokens      float64
	refilled    time.Time
	pausedUntil time.Time
}

func newClaimBudget() claimBudget { return claimBudget{tokens: claimBurst} }

// take takes a token for one claim and reports whether the claim is allowed.
func (b claimBudget) take(now time.Time) (claimBudget, bool) {
	if !b.refilled.IsZero() {
		b.tokens = min(claimBurst, b.tokens+now.Sub(b.refilled).Seconds()*claimsPerSecond)
	}
	b.refilled = now
	if now.Before(b.pausedUntil) || b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// paused returns the budget that allows no claims for outagePause.
func (b claimBudget) paused(now time.Time) claimBudget {
	b.pausedUntil = now.Add(outagePause)
	return b
}
