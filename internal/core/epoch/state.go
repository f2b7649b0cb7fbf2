// Package epoch knows the current epoch of the platform's data. Whatever a node keeps of the platform's answers, such as the version
// from which it watches, holds only in the epoch of the answer.
//
// # Usage
//
//	state := epoch.New()
//	state, changed := state.AnswerSeen(now, answered)
//	if changed { /* rewrite what the platform has lost */ }
//
// An epoch becomes current when an answer of the platform or a peer shows it for the first time. Late answers may still show an
// earlier one. A platform that shows an earlier epoch for longer than that has gone back, for example to a copy from before
// its last restoration.
package epoch

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// lateAnswerTime is the time after a change of the epoch during which an answer of an earlier one is taken for a late one. It exceeds
// the timeout of every call to the platform except watches, which start again at the change.
const lateAnswerTime = 10 * time.Second

// State holds the current epoch.
type State struct {
	current fleet.Epoch
	// highest is the highest epoch that was ever current, and since the time of the last change.
	highest fleet.Epoch
	since   time.Time
}

// New returns the state of a node that knows no epoch.
func New() State { return State{} }

// Current returns the current epoch; 0 if it is unknown.
func (s State) Current() fleet.Epoch { return s.current }

// AnswerSeen handles the epoch of an answer of the platform and reports whether the current epoch has changed.
func (s State) AnswerSeen(now time.Time, e fleet.Epoch) (State, bool) {
	switch {
	case e == 0 || e == s.current:
		return s, false
	case e > s.current:
		return s.withCurrent(now, e), true
	case now.Sub(s.since) < lateAnswerTime:
		return s, false
	default:
		return s.withCurrent(now, e), true
	}
}

// PeerSeen handles the epoch in a message of another node and reports whether the current epoch has changed. A peer's epoch counts only
// if it is new to this node, so that nodes don't take turns between two after the platform has gone back.
func (s State) PeerSeen(now time.Time, e fleet.Epoch) (State, bool) {
	if e <= s.highest {
		return s, false
	}
	return s.withCurrent(now, e), true
}

func (s State) withCurrent(now time.Time, e fleet.Epoch) State {
	s.current, s.highest, s.since = e, max(s.highest, e), now
	return s
}
