// Package quarantine finds the requests that crash targets and refuses them.
//
// # Usage
//
//	state := quarantine.New()
//	state = state.Succeeded(fingerprint)
//	state, effects := state.Crashed(now, target, inFlight)
//	if state.Has(fingerprint) { ... }
package quarantine

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// State holds the suspected and the quarantined fingerprints.
type State struct{}

// New returns the state without any fingerprint.
func New() State { return State{} }

// Crashed says that a local target died while requests with these fingerprints were in flight.
func (s State) Crashed(time.Time, fleet.TargetID, []fleet.Fingerprint) (State, []effect.Effect) {
	return s, nil
}

// Succeeded says that a request with this fingerprint was answered.
func (s State) Succeeded(time.Time, fleet.Fingerprint) State { return s }

// Learned takes in fingerprints that another node quarantined.
func (s State) Learned(time.Time, []fleet.Fingerprint) (State, []effect.Effect) { return s, nil }

// Has reports whether a fingerprint is quarantined.
func (s State) Has(time.Time, fleet.Fingerprint) bool { return false }

// Recent lists the fingerprints to pass on with replies.
func (s State) Recent() []fleet.Fingerprint { return nil }

// Status lists the quarantined fingerprints in order.
func (s State) Status() []effect.QuarantineStatus { return nil }

// Tick drops fingerprints whose time is over.
func (s State) Tick(time.Time) State { return s }
