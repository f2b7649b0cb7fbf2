package effect

import "jayfold.dev/jayfold/internal/core/fleet"

// ClaimOrder creates the claim object of an order with an idempotency key on the platform, unless another process has created
// it. Event: event.OrderClaimFinished.
type ClaimOrder struct {
	ClaimName string
	Attempt   fleet.AttemptID
}

// ReleaseOrderClaim deletes the claim object of an order if it still belongs to the given attempt.
type ReleaseOrderClaim struct {
	ClaimName string
	Attempt   fleet.AttemptID
}

// ReplayResponse responds to an attempt with the stored response of an earlier one.
type ReplayResponse struct {
	Attempt  fleet.AttemptID
	Original fleet.AttemptID
}

func (ClaimOrder) isEffect()        {}
func (ReleaseOrderClaim) isEffect() {}
func (ReplayResponse) isEffect()    {}
