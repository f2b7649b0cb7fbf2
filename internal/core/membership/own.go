package membership

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// changeInterval is the time between two changes of this node's record that can wait.
	changeInterval = time.Second
	// urgentPeers is how many peers hear at once of a change that cannot wait. From 4 it takes 4 s to reach 540 nodes.
	urgentPeers = 4
	// adoptTime is how long after its start a node takes a higher incarnation of its own record for an earlier life under
	// a clock that was set back since. Later it is a newer process that has taken this node's place.
	adoptTime = 30 * time.Second
)

// own is what is to happen to this node's own record.
type own struct {
	pending fleet.Option[[]fleet.Target]
	changed time.Time
	urgent  bool
}

// TargetsChanged puts the targets on this host into the node's own record: at once when a target is gone or draining, so
// that ingresses stop using it, and otherwise at the next tick, but no more than once a second. A caller repeats it with
// each tick until the record has the targets.
func (s State) TargetsChanged(targets []fleet.Target) State {
	if !withdraws(s.Self().Targets, targets) {
		s.own.pending = fleet.Some(targets)
		return s
	}
	s.own.pending = fleet.Option[[]fleet.Target]{}
	s.own.urgent = true
	return s.rewritten(s.Self().WithTargets(targets))
}

// withdraws reports whether a target that was ready is no longer.
func withdraws(old, changed []fleet.Target) bool {
	ready := make(map[fleet.TargetID]bool, len(changed))
	for _, t := range changed {
		ready[t.ID] = t.State == fleet.Ready
	}
	for _, t := range old {
		if t.State == fleet.Ready && !ready[t.ID] {
			return true
		}
	}
	return false
}

// rewritten puts a new version of the own record in force and spreads it.
func (s State) rewritten(m fleet.Member) State { return s.with(m).spread(m.Node) }

// publish applies a change of the targets that is due, and tells several peers of one that cannot wait.
func (s State) publish(now time.Time, _ uint64) (State, []effect.Effect) {
	targets, ok := s.own.pending.Get()
	s.own.pending = fleet.Option[[]fleet.Target]{}
	if ok && now.Sub(s.own.changed) >= changeInterval {
		s.own.changed = now
		s = s.rewritten(s.Self().WithTargets(targets))
	}
	if !s.own.urgent {
		return s, nil
	}
	s.own.urgent = false
	return s.pingAll(s.peers(urgentPeers, s.self))
}

// refute answers a record of this node that it did not write, such as a suspicion, with a newer one. A peer that sends an
// older record has missed the newer one, which may have been sent often enough before.
func (s State) refute(now time.Time, m fleet.Member) (State, []effect.Effect) {
	self := s.Self()
	if self.Newer(m) && !s.rumors.has(s.self) {
		return s.spread(s.self), nil
	}
	if !m.Newer(self) {
		return s, nil
	}
	if m.Incarnation == self.Incarnation {
		self.Sequence = m.Sequence + 1
		return s.rewritten(self), nil
	}
	if !s.started.IsZero() && now.Sub(s.started) > adoptTime {
		return s, []effect.Effect{replaced(m)}
	}
	self.Incarnation = m.Incarnation + 1
	return s.rewritten(self), nil
}

func replaced(m fleet.Member) effect.Effect {
	return effect.Log{
		Level:  effect.Failure,
		Part:   "membership",
		Text:   "another process has taken this node's place",
		Fields: []effect.Field{{Name: "Incarnation", Value: m.Incarnation}, {Name: "Address", Value: m.PeerAddress}},
	}
}

// Left announces that this node leaves.
func (s State) Left() (State, []effect.Effect) {
	self := s.Self().WithStatus(fleet.Leaving)
	self.Sequence++
	s = s.rewritten(self)
	s, effects := s.pingAll(s.peers(urgentPeers, s.self))
	return s, append(effects, effect.RegisterMember{Member: self})
}
