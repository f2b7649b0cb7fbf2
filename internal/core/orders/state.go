// Package orders ensures that an order runs at most once when its caller sends it again with the same idempotency key. The
// sidecar of the key's home target records the outcome of the order. A claim object on the platform prevents another sidecar
// from running the order after the home target of the key has changed.
//
// # Usage
//
//	state := orders.New(self)
//	state, decision := state.AttemptArrived(now, attempt)
//	state, decision = state.ClaimFinished(now, attemptID, fleet.ClaimCreated, false)
//	state, effects := state.RunFinished(attemptID, outcome)
//
// A decision contains the attempt to pass on to admission, if there is one.
//
// # Guarantees
//
// Within Retention, an order with an idempotency key runs at most once. While the process of its home node runs, a resent
// order receives the stored response of the first one. After the home target has changed, the claim on the platform makes the
// new one refuse a resent order with the verdict MayHaveRun. An order that cannot be claimed, because the platform is unreachable
// or the claim budget is spent, runs only on a target that has been present for Retention and has a higher home score than all
// other targets present within that time. Other targets refuse it with the verdict MayHaveRun.
//
// A platform that is restored from an older copy of its data loses claims. The nodes that hold them write them again. For Retention after
// it, an order that was claimed runs only where it would run without a claim.
//
// There is no guarantee for orders resent after Retention, for orders without a key, or if a partition hides from the home
// node a target that has run the order without a claim, nor on a node that has started after the platform was restored from a copy, for an
// order whose claim was lost with the node that held it.
package orders

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// Retention is the time for which a key and its outcome are kept after the order was last sent.
const Retention = 10 * time.Minute

// maxRecords is the maximum number of keys that a sidecar keeps. Beyond it, orders with new keys are refused as NotRun.
const maxRecords = 20000

// State holds the records of the orders with idempotency keys that a sidecar has received.
type State struct {
	self    fleet.NodeID
	records fleet.Map[string, record]
	// pendingClaims holds the claim names of attempts that wait for the result of their claim.
	pendingClaims fleet.Map[fleet.AttemptID, string]
	// admitted holds the claim names of attempts that were passed on to admission and have not ended.
	admitted fleet.Map[fleet.AttemptID, string]
	// pools holds the histories of the pools that have targets on this host.
	pools  fleet.Map[fleet.PoolName, poolHistory]
	budget claimBudget
	lost   lostClaims
	// lastSweep is the time of the last scan for expired records.
	lastSweep time.Time
}

// orderState is the state of an order.
type orderState uint8

const (
	// claiming orders wait for the result of their claim.
	claiming orderState = iota
	// running orders were passed on to admission and have not ended.
	running
	// notRun orders have definitely not run. Their records are dropped.
	notRun
	// completed orders have run, and their response is stored.
	completed
	// unknown orders may have run, here without a response or in another process that holds the claim.
	unknown
)

// record is the record of an order with an idempotency key.
type record struct {
	state       orderState
	attempt     fleet.Attempt
	fingerprint fleet.Fingerprint
	// claimed is true if this node holds the claim on the platform.
	claimed  bool
	lastSent time.Time
}

// New returns the state without any orders.
func New(self fleet.NodeID) State {
	return State{self: self, budget: newClaimBudget()}
}

// Len returns the number of recorded orders.
func (s State) Len() int { return s.records.Len() }

func (s State) withRecord(name string, r record) State {
	s.records = s.records.With(name, r)
	return s
}

// ClaimName returns the name under which an order is recorded and claimed. It contains the caller, since different callers may
// use the same key.
func ClaimName(attempt fleet.Attempt) string {
	return string(attempt.Caller) + "/" + string(attempt.Key)
}

// Decision tells what to do next with an attempt that has an idempotency key.
type Decision struct {
	// Admit is the attempt to pass on to admission; absent if there is none.
	Admit   fleet.Option[fleet.Attempt]
	Effects []effect.Effect
}

func admit(attempt fleet.Attempt) Decision {
	return Decision{Admit: fleet.Some(attempt)}
}

func effectsOnly(effects ...effect.Effect) Decision {
	return Decision{Effects: effects}
}
