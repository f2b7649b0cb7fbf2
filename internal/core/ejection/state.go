// Package ejection takes failing targets of one host out of service, under in-service leases from healthy targets of the
// same pool, so that ejections never take a pool below its floor.
//
// # Usage
//
//	state := ejection.New(self)
//	state, effects := state.Failing(ctx, target, pool)
//	gate := state.Gate(now, target)
package ejection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// State holds the leases asked for and granted by the targets of one host, and which of them are ejected.
type State struct {
	self fleet.NodeID
}

// Context is what the ejection part is given with each event.
type Context struct {
	Now       time.Time
	Random    uint64
	Tables    fleet.Tables
	Directory fleet.Directory
	// Local are the targets on this host.
	Local []fleet.Target
	// Peers gives the address for messages to a node.
	PeerAddress func(fleet.NodeID) (string, bool)
	// Score gives the detector's statistic of a local target.
	Score func(fleet.TargetID) float64
}

// New returns the state of a node that has just started.
func New(self fleet.NodeID) State { return State{self: self} }

// Failing starts the ejection of a local target.
func (s State) Failing(Context, fleet.TargetID) (State, []effect.Effect) { return s, nil }

// Recovered returns a local target to service.
func (s State) Recovered(Context, fleet.TargetID) (State, []effect.Effect) { return s, nil }

// Relapsed doubles the wait before an ejected target's next trial.
func (s State) Relapsed(Context, fleet.TargetID) (State, []effect.Effect) { return s, nil }

// Received handles a lease message.
func (s State) Received(Context, fleet.NodeID, message.Message) (State, []effect.Effect) {
	return s, nil
}

// Tick renews leases and ends ejections whose leases ran out.
func (s State) Tick(Context) (State, []effect.Effect) { return s, nil }

// Gate says which attempts a target takes.
func (s State) Gate(time.Time, fleet.TargetID) admission.Gate { return admission.Open }

// Ejected reports whether a local target is ejected.
func (s State) Ejected(time.Time, fleet.TargetID) bool { return false }

// Drained releases and grants no lease from now on, since the node is leaving.
func (s State) Drained(Context) (State, []effect.Effect) { return s, nil }
