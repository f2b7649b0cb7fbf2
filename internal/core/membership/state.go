// Package membership keeps the member records of the fleet by gossip (SWIM) and derives the directory of targets.
//
// # Usage
//
//	state := membership.New(record)
//	state, effects := state.Tick(now, random)
//	candidates := state.Directory().Pool("catalogue")
package membership

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// State holds every member record that this node knows.
type State struct {
	self      fleet.NodeID
	members   fleet.Map[fleet.NodeID, fleet.Member]
	directory fleet.Directory
	listed    time.Time
	changed   bool
}

// seedInterval is the time between reads of the member list on the platform.
const seedInterval = time.Second

// New returns the state of a node that knows only its own record.
func New(self fleet.Member) State {
	return State{self: self.Node}.with(self)
}

// with returns the state with a record that overrides the known one of the same node.
func (s State) with(m fleet.Member) State {
	old, _ := s.members.Get(m.Node)
	s.members = s.members.With(m.Node, m)
	s.directory = s.directory.WithMember(old, m)
	return s
}

// Self returns this node's own record.
func (s State) Self() fleet.Member {
	m, _ := s.members.Get(s.self)
	return m
}

// Member returns the record of a node.
func (s State) Member(id fleet.NodeID) (fleet.Member, bool) { return s.members.Get(id) }

// Members returns all records in node id order.
func (s State) Members() []fleet.Member {
	members := make([]fleet.Member, 0, s.members.Len())
	for _, m := range s.members.All() {
		members = append(members, m)
	}
	return members
}

// Directory returns the candidates of every pool.
func (s State) Directory() fleet.Directory { return s.directory }

// PeerAddress returns the address for messages to a node.
func (s State) PeerAddress(id fleet.NodeID) (string, bool) {
	m, ok := s.members.Get(id)
	return m.PeerAddress, ok
}

// TargetsChanged puts the targets on this host into the node's own record.
func (s State) TargetsChanged(targets []fleet.Target) State {
	s = s.with(s.Self().WithTargets(targets))
	s.changed = true
	return s
}

// Listed merges the records kept on the platform.
func (s State) Listed(_ time.Time, members []fleet.Member) (State, []effect.Effect) {
	for _, m := range members {
		known, ok := s.members.Get(m.Node)
		if m.Node != s.self && (!ok || m.Newer(known)) {
			s = s.with(m)
		}
	}
	return s, nil
}

// Received handles a membership message.
func (s State) Received(time.Time, message.Envelope) (State, []effect.Effect) { return s, nil }

// SendFailed says that a message to a node could not be sent.
func (s State) SendFailed(_ time.Time, _ fleet.NodeID) (State, []effect.Effect) { return s, nil }

// Tick probes a peer, and reads the seeds when they are due.
func (s State) Tick(now time.Time, _ uint64) (State, []effect.Effect) {
	if now.Sub(s.listed) < seedInterval {
		return s, nil
	}
	s.listed = now
	effects := []effect.Effect{effect.ListMembers{}}
	if s.changed {
		s.changed = false
		effects = append(effects, effect.RegisterMember{Member: s.Self()})
	}
	return s, effects
}

// Left announces that this node leaves.
func (s State) Left(time.Time) (State, []effect.Effect) {
	s = s.with(s.Self().WithStatus(fleet.Leaving))
	return s, []effect.Effect{effect.RegisterMember{Member: s.Self()}}
}
