package event

import "jayfold.dev/jayfold/internal/core/fleet"

// OrderClaimFinished is the result of effect.ClaimOrder.
type OrderClaimFinished struct {
	Attempt fleet.AttemptID
	Result  fleet.ClaimResult
}

func (OrderClaimFinished) isBody() {}
