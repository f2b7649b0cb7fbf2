// Package orders lets an order that its caller sends again run at most once. An idempotency key names the order; the
// sidecar of the key's home target remembers the key and what became of it, and a claim on the platform keeps another
// sidecar from running it when the home changes.
//
// # Usage
//
//	state := orders.New(self)
//	state, step := state.Asked(now, attempt)
//	state, step = state.Claimed(now, attemptID, fleet.ClaimCreated)
//	state, effects := state.Finished(attemptID, outcome)
//
// A step says whether the attempt goes on to admission.
//
// # What is promised
//
// Within Retention an order with a key runs at most once, and while its home's process lives a resend gets the first
// answer. When the home changes, the claim on the platform makes the new home refuse the resend with the verdict
// MayHaveRun. An order that cannot be claimed, in an outage of the platform or beyond the claim budget, runs only on a
// target that has been there for Retention and outranks every target that was there since; any other is refused with
// MayHaveRun.
//
// Not covered: a resend after Retention; an order without a key; a home whose view of the fleet lacks, because of a
// partition, a target that ran the order without a claim.
package orders

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// Retention is how long a key and its outcome are remembered after the order was last sent.
const Retention = 10 * time.Minute

// maxRecords bounds the keys that one sidecar remembers. Beyond it a new keyed order is refused as NotRun.
const maxRecords = 20000

// State is what a sidecar knows of the keyed orders that it was sent.
type State struct {
	self    fleet.NodeID
	records fleet.Map[string, record]
	// pendingClaims gives the order's name for each attempt that waits for its claim.
	pendingClaims fleet.Map[fleet.AttemptID, string]
	// admitted gives the order's name for each attempt that was handed to admission and has not ended.
	admitted fleet.Map[fleet.AttemptID, string]
	// pools is how the pools with targets on this host changed.
	pools  fleet.Map[fleet.PoolName, poolHistory]
	budget claimBudget
	// lastSweep is when expired records were last dropped.
	lastSweep time.Time
}

// orderState is how far an order has come.
type orderState uint8

const (
	// claiming waits for the platform.
	claiming orderState = iota
	// running was handed to admission and has not ended.
	running
	// notRun provably did not run; such an order is forgotten.
	notRun
	// completed ran, and its answer is kept.
	completed
	// unknown may have run, and no answer came.
	unknown
)

// record is one keyed order.
type record struct {
	state       orderState
	attempt     fleet.Attempt
	fingerprint fleet.Fingerprint
	// claimed means that this node holds the claim on the platform.
	claimed  bool
	lastSent time.Time
}

// New returns the state of a sidecar that remembers no order.
func New(self fleet.NodeID) State {
	return State{self: self, budget: newClaimBudget()}
}

// Len returns the number of orders remembered.
func (s State) Len() int { return s.records.Len() }

func (s State) withRecord(name string, r record) State {
	s.records = s.records.With(name, r)
	return s
}

// ClaimName returns the name of the attempt's order: the caller and its key, so that callers cannot meet each other's orders.
func ClaimName(attempt fleet.Attempt) string {
	return string(attempt.Caller) + "/" + string(attempt.Key)
}

// Decision is what to do next with a keyed attempt.
type Decision struct {
	// Admit is the attempt that goes on to admission, when there is one.
	Admit   fleet.Option[fleet.Attempt]
	Effects []effect.Effect
}

func admit(attempt fleet.Attempt) Decision {
	return Decision{Admit: fleet.Some(attempt)}
}

func execute(effects ...effect.Effect) Decision {
	return Decision{Effects: effects}
}
