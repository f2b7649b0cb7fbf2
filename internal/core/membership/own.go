package membership

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
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
	pending fleet.Option[hosted]
	changed time.Time
	urgent  bool
	// keep means that the platform is to keep the record, since it has a new departure.
	keep bool
}

// hosted is what a node's record says of its host.
type hosted struct {
	targets    []fleet.Target
	departures []fleet.Tombstone
}

// hosting returns this node's record with what it says of the host.
func (s State) hosting(h hosted) fleet.Member {
	return s.Self().WithTargets(h.targets).WithTombstones(h.departures)
}

// TargetsChanged puts the targets on this host and their departures into the node's own record: at once when a target is gone or
// draining, so that ingresses stop using it, and otherwise at the next tick, but no more than once a second. A caller repeats it
// with each tick until the record has them. A record with a new departure is also written to the platform, from where the node
// learns it again after a restart of the whole fleet.
func (s State) TargetsChanged(targets []fleet.Target, departures []fleet.Tombstone) State {
	h := hosted{targets: targets, departures: departures}
	departs := adds(s.Self().Tombstones, departures)
	if !departs && !withdraws(s.Self().Targets, targets) {
		s.own.pending = fleet.Some(h)
		return s
	}
	s.own.pending = fleet.Option[hosted]{}
	s.own.urgent = true
	s.own.keep = s.own.keep || departs
	return s.rewritten(s.hosting(h))
}

// adds reports whether there is a departure that was not known before.
func adds(old, changed []fleet.Tombstone) bool {
	return slices.ContainsFunc(changed, func(d fleet.Tombstone) bool { return !slices.Contains(old, d) })
}

// withdraws reports whether a target that was ready is no longer.
func withdraws(old, changed []fleet.Target) bool {
	ready := make(map[fleet.TargetID]bool, len(changed))
	for _, t := range changed {
		ready[t.ID] = t.State == fleet.TargetReady
	}
	for _, t := range old {
		if t.State == fleet.TargetReady && !ready[t.ID] {
			return true
		}
	}
	return false
}

// rewritten puts a new version of the own record in force and spreads it.
func (s State) rewritten(m fleet.Member) State { return s.with(m).spread(m.Node) }

// publish applies a change of the targets that is due, and tells several peers, and where it is to be kept the platform, of one
// that cannot wait.
func (s State) publish(now time.Time, _ uint64) (State, []effect.Effect) {
	h, ok := s.own.pending.Get()
	s.own.pending = fleet.Option[hosted]{}
	if ok && now.Sub(s.own.changed) >= changeInterval {
		s.own.changed = now
		s = s.rewritten(s.hosting(h))
	}
	if !s.own.urgent {
		return s, nil
	}
	s.own.urgent = false
	s, effects := s.pingAll(s.peers(urgentPeers, s.self))
	if s.own.keep {
		s.own.keep = false
		effects = append(effects, effect.RegisterMember{Member: s.Self()})
	}
	return s, effects
}

// EarlierTombstones returns the departures in records of this node's earlier lives.
func (s State) EarlierTombstones(records []fleet.Member) []fleet.Tombstone {
	var departures []fleet.Tombstone
	for _, m := range records {
		if m.Node == s.self && m.Incarnation != s.Self().Incarnation {
			departures = append(departures, m.Tombstones...)
		}
	}
	return departures
}

// returned answers a node that has restarted with the record of its earlier life, if that has departures, before the new record
// takes its place here.
func (s State) returned(envelope message.Envelope) []effect.Effect {
	known, ok := s.Member(envelope.From)
	if !ok || known.Incarnation >= envelope.Incarnation || len(known.Tombstones) == 0 {
		return nil
	}
	earlier := message.SyncReply{Number: inTurn, Members: []fleet.Member{known}}
	return []effect.Effect{effect.SendMessage{To: envelope.From, Address: envelope.Address, Message: earlier}}
}

// refute answers a record of this node that it did not write, such as a suspicion, with a newer one. A peer that sends an
// older record has missed the newer one, which may have been sent often enough before.
func (s State) refute(now time.Time, m fleet.Member) (State, []effect.Effect) {
	self := s.Self()
	if self.Supersedes(m) && !s.rumors.has(s.self) {
		return s.spread(s.self), nil
	}
	if !m.Supersedes(self) {
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
	return effect.WriteLog{
		Level:     effect.Error,
		Component: "membership",
		Message:   "another process has taken this node's place",
		Fields:    []effect.LogField{{Name: "Incarnation", Value: m.Incarnation}, {Name: "Address", Value: m.PeerAddress}},
	}
}

// Leave announces that this node leaves.
func (s State) Leave() (State, []effect.Effect) {
	self := s.Self().WithStatus(fleet.Leaving)
	self.Sequence++
	s = s.rewritten(self)
	s, effects := s.pingAll(s.peers(urgentPeers, s.self))
	return s, append(effects, effect.RegisterMember{Member: self})
}
