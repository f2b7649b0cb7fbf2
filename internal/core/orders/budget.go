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

// budget is a token bucket over event time.
type budget struct {
	tokens float64
	filled time.Time
	paused time.Time
}

func newBudget() budget { return budget{tokens: claimBurst} }

// take returns the budget after one claim and whether the claim is allowed.
func (b budget) take(now time.Time) (budget, bool) {
	if !b.filled.IsZero() {
		b.tokens = min(claimBurst, b.tokens+now.Sub(b.filled).Seconds()*claimsPerSecond)
	}
	b.filled = now
	if now.Before(b.paused) || b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// failed pauses claims after the platform did not answer one.
func (b budget) failed(now time.Time) budget {
	b.paused = now.Add(outagePause)
	return b
}
