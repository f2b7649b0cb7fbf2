package event

import "jayfold.dev/jayfold/internal/core/fleet"

// OrderClaimed answers effect.ClaimOrder.
type OrderClaimed struct {
	Attempt fleet.AttemptID
	Result  fleet.ClaimResult
}

func (OrderClaimed) isBody() {}
