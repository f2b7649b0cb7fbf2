package effect

import "jayfold.dev/jayfold/internal/core/fleet"

// ClaimOrder creates the claim object of a keyed order on the platform, if there is none. Event: event.OrderClaimed.
type ClaimOrder struct {
	Name    string
	Attempt fleet.AttemptID
}

// ReleaseOrder deletes the claim object of a keyed order, when it is still the one of the given attempt.
type ReleaseOrder struct {
	Name    string
	Attempt fleet.AttemptID
}

// Replay answers an attempt with the kept answer of an earlier one.
type Replay struct {
	Attempt fleet.AttemptID
	Of      fleet.AttemptID
}

func (ClaimOrder) isEffect()   {}
func (ReleaseOrder) isEffect() {}
func (Replay) isEffect()       {}
