package effect

import "jayfold.dev/jayfold/internal/core/fleet"

// ClaimOrder creates the claim object of a keyed order on the platform, if there is none. Event: event.OrderClaimed.
type ClaimOrder struct {
	ClaimName string
	Attempt   fleet.AttemptID
}

// ReleaseOrderClaim deletes the claim object of a keyed order, when it is still the one of the given attempt.
type ReleaseOrderClaim struct {
	ClaimName string
	Attempt   fleet.AttemptID
}

// ReplayResponse answers an attempt with the kept answer of an earlier one.
type ReplayResponse struct {
	Attempt  fleet.AttemptID
	Original fleet.AttemptID
}

func (ClaimOrder) isEffect()        {}
func (ReleaseOrderClaim) isEffect() {}
func (ReplayResponse) isEffect()    {}
