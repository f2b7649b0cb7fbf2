package event

import "jayfold.dev/jayfold/internal/core/fleet"

// OrderClaimFinished is the result of effect.ClaimOrder.
type OrderClaimFinished struct {
	Attempt fleet.AttemptID
	Result  fleet.ClaimResult
	// Epoch is that of the platform's data with the claim; 0 if it is unknown.
	Epoch fleet.Epoch
}

func (OrderClaimFinished) isBody() {}
