package event

import "jayfold.dev/jayfold/internal/core/fleet"

// OrderClaimFinished answers effect.ClaimOrder.
type OrderClaimFinished struct {
	Attempt fleet.AttemptID
	Result  fleet.ClaimResult
}

func (OrderClaimFinished) isBody() {}
