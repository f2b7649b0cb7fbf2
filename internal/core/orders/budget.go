package orders

import "time"

// The claim budget of one node. The platform takes several hundred writes a second; 540 nodes at 0.4 claims and as many
// releases a second stay below 450, and a burst lets a small site claim every order.
const (
	claimsPerSecond = 0.4
	claimBurst      = 60.0
)

// outagePause is how long no claim is made after one failed, so that an outage does not delay every order by a timeout.
const outagePause = 10 * time.Second

// claimBudget is a token bucket over event time.
type claimBudget struct {
	tokens      float64
	refilled    time.Time
	pausedUntil time.Time
}

func newClaimBudget() claimBudget { return claimBudget{tokens: claimBurst} }

// take returns the budget after one claim and whether the claim is allowed.
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

// paused pauses claims after the platform did not answer one.
func (b claimBudget) paused(now time.Time) claimBudget {
	b.pausedUntil = now.Add(outagePause)
	return b
}
