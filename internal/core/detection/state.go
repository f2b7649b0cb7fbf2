// Package detection judges the targets of one host by the real requests that they finish.
//
// # Usage
//
//	state := detection.New()
//	state, verdict := state.Observed(now, sample)
//	if verdict == detection.Failing { ... }
package detection

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// State holds one detector per target.
type State struct{}

// Sample is one finished request.
type Sample struct {
	Target fleet.TargetID
	Class  fleet.Class
	// Failed means that it failed on the target's side.
	Failed bool
	Took   time.Duration
	// Baseline is the pool's p95 for the class; 0 means not known yet.
	Baseline time.Duration
	// FalseEjectionInterval is the pool's setting.
	FalseEjectionInterval time.Duration
	// Ejected says that the target is ejected, so that the sample counts towards its return.
	Ejected bool
}

// Judgement is what the detector says of a target.
type Judgement uint8

// The judgements.
const (
	// Undecided means that nothing is to be done.
	Undecided Judgement = iota
	// Failing means that a target in service is to be ejected.
	Failing
	// Recovered means that an ejected target may return to service.
	Recovered
	// Relapsed means that an ejected target is still failing.
	Relapsed
)

// Evidence is what a judgement rests on.
type Evidence struct {
	// Judged and Bad count requests since the statistic was last zero.
	Judged   int
	Bad      int
	Score    float64
	Baseline time.Duration
}

// New returns the state without any target.
func New() State { return State{} }

// Observed takes in a finished request.
func (s State) Observed(time.Time, Sample) (State, Judgement) { return s, Undecided }

// P95 returns the target's own p95 for the class; 0 means not known yet.
func (s State) P95(fleet.TargetID, fleet.Class) time.Duration { return 0 }

// Evidence returns what the detector has on a target.
func (s State) Evidence(fleet.TargetID) Evidence { return Evidence{} }

// Forget drops a target's detector, because the target is gone or its process is new.
func (s State) Forget(fleet.TargetID) State { return s }
