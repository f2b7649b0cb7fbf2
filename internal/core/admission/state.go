// Package admission holds the sidecar's decisions on the targets of its host: which attempts run now, wait or are refused.
//
// # Usage
//
//	state := admission.New(self)
//	state, effects := state.Announced(now, announcement)
//	state, effects = state.Asked(now, attempt, admission.Open)
//	state, effects, run := state.RunFinished(now, attemptID, outcome)
package admission

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// State is what the sidecar knows of the targets on its host.
type State struct {
	self    fleet.NodeID
	targets fleet.Map[fleet.TargetID, local]
	running fleet.Map[fleet.AttemptID, Run]
}

// Gate is what the ejection part says of a target when an attempt asks for admission.
type Gate uint8

// The gates.
const (
	// Open admits everything.
	Open Gate = iota
	// Closed refuses everything, since the target is ejected.
	Closed
	// Trial admits one idempotent attempt, to see whether an ejected target has recovered.
	Trial
)

// Run is an attempt that runs on a target.
type Run struct {
	Attempt fleet.Attempt
	Started time.Time
}

// local is one target on this host.
type local struct {
	announcement fleet.Announcement
	heard        time.Time
	inFlight     int
}

// New returns the state of the sidecar of the given node.
func New(self fleet.NodeID) State {
	return State{self: self}
}

// Announced records a heartbeat of a target.
func (s State) Announced(now time.Time, a fleet.Announcement) (State, []effect.Effect) {
	id := fleet.NewTargetID(s.self, a.Name)
	l, _ := s.targets.Get(id)
	l.announcement = a
	l.heard = now
	s.targets = s.targets.With(id, l)
	return s, nil
}

// Withdrawn removes a target.
func (s State) Withdrawn(_ time.Time, name string) (State, []effect.Effect) {
	s.targets = s.targets.Without(fleet.NewTargetID(s.self, name))
	return s, nil
}

// Asked decides on an attempt.
func (s State) Asked(now time.Time, attempt fleet.Attempt, _ Gate) (State, []effect.Effect) {
	l, ok := s.targets.Get(attempt.Target)
	if !ok {
		return s, s.refuse(attempt, fleet.UnknownTarget)
	}
	if l.inFlight >= l.announcement.Slots {
		return s, s.refuse(attempt, fleet.Overloaded)
	}
	l.inFlight++
	s.targets = s.targets.With(attempt.Target, l)
	s.running = s.running.With(attempt.ID, Run{Attempt: attempt, Started: now})
	run := effect.Run{Attempt: attempt, Address: l.announcement.Address, Connections: l.announcement.Connections}
	return s, []effect.Effect{run}
}

func (s State) refuse(attempt fleet.Attempt, cause fleet.Cause) []effect.Effect {
	problem := fleet.NewProblem(cause, fleet.NotRun, "target "+string(attempt.Target)+" refused the attempt")
	return []effect.Effect{effect.RefuseAttempt{Attempt: attempt.ID, Problem: problem, Report: s.Report(attempt)}}
}

// Canceled ends an attempt that its ingress gave up.
func (s State) Canceled(_ time.Time, id fleet.AttemptID) (State, []effect.Effect) {
	if _, ok := s.running.Get(id); !ok {
		return s, nil
	}
	return s, []effect.Effect{effect.CancelRun{Attempt: id}}
}

// RunFinished frees the attempt's slot. The run is absent when the attempt did not run here.
func (s State) RunFinished(_ time.Time, id fleet.AttemptID, _ fleet.Outcome) (State, []effect.Effect, fleet.Option[Run]) {
	run, ok := s.running.Get(id)
	if !ok {
		return s, nil, fleet.Option[Run]{}
	}
	s.running = s.running.Without(id)
	if l, ok := s.targets.Get(run.Attempt.Target); ok {
		l.inFlight--
		s.targets = s.targets.With(run.Attempt.Target, l)
	}
	return s, nil, fleet.Some(run)
}

// Tick removes targets whose heartbeats stopped and refuses queued attempts whose deadline passed.
func (s State) Tick(time.Time) (State, []effect.Effect) { return s, nil }

// Drained refuses all new attempts from now on.
func (s State) Drained(time.Time) (State, []effect.Effect) { return s, nil }

// Report returns the load of the attempt's target. The detector adds what it knows.
func (s State) Report(attempt fleet.Attempt) fleet.Report {
	return fleet.Report{Target: attempt.Target, Class: attempt.Class, Load: s.Load(attempt.Target)}
}

// Load returns a target's load.
func (s State) Load(id fleet.TargetID) fleet.Load {
	l, _ := s.targets.Get(id)
	return fleet.Load{InFlight: l.inFlight, Slots: l.announcement.Slots}
}

// Targets returns the targets on this host in id order, for the member record.
func (s State) Targets() []fleet.Target {
	targets := make([]fleet.Target, 0, s.targets.Len())
	for id, l := range s.targets.All() {
		targets = append(targets, fleet.Target{
			ID:    id,
			Pool:  l.announcement.Pool,
			State: l.announcement.State,
			Slots: l.announcement.Slots,
		})
	}
	return targets
}

// InFlight returns the number of attempts that run on targets of this host.
func (s State) InFlight() int { return s.running.Len() }
