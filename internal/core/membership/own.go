package membership

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// changeInterval is the minimum time between two non-urgent changes of this node's record.
	changeInterval = time.Second
	// urgentPeers is the number of peers that are pinged at once after an urgent change. With 4, the change takes 4 s to reach 540
	// nodes.
	urgentPeers = 4
	// adoptWindow is how long after its start a node attributes a higher incarnation of its own record to an earlier process whose
	// clock has since been set back. After that, it attributes it to a newer process with the same node id.
	adoptWindow = 30 * time.Second
)

// ownRecord holds the pending changes of this node's own record.
type ownRecord struct {
	pending    fleet.Option[hostState]
	lastChange time.Time
	urgent     bool
	// register is true if the record is to be written to the platform because it has a new tombstone. A node that has just started
	// first reads its earlier record from the platform or a peer, since the write replaces it.
	register bool
}

// hostState holds the targets and tombstones of a host.
type hostState struct {
	targets    []fleet.Target
	tombstones []fleet.Tombstone
}

// selfWith returns this node's record with the given targets and tombstones.
func (s State) selfWith(host hostState) fleet.Member {
	return s.Self().WithTargets(host.targets).WithTombstones(host.tombstones)
}

// TargetsChanged updates the targets on this host and their tombstones in the node's own record: at once if a target is absent
// or draining, so that ingresses stop using it, or if a tombstone is new, and otherwise at the next tick, but at most once a
// second. It must be called again on each tick until the record contains the change. A record with a new tombstone is also
// written to the platform, from which the node recovers it after a restart of the whole fleet.
func (s State) TargetsChanged(targets []fleet.Target, tombstones []fleet.Tombstone) State {
	host := hostState{targets: targets, tombstones: tombstones}
	addsNew := addsTombstone(s.Self().Tombstones, tombstones)
	if !addsNew && !withdrawsTarget(s.Self().Targets, targets) {
		s.own.pending = fleet.Some(host)
		return s
	}
	s.own.pending = fleet.Option[hostState]{}
	s.own.urgent = true
	s.own.register = s.own.register || addsNew
	s = s.withOwnRecord(s.selfWith(host))
	if addsNew {
		s.kept.tombstoneSequence = s.Self().Sequence
	}
	return s
}

// addsTombstone reports whether changed has a tombstone that old lacks.
func addsTombstone(old, changed []fleet.Tombstone) bool {
	return slices.ContainsFunc(changed, func(t fleet.Tombstone) bool { return !slices.Contains(old, t) })
}

// withdrawsTarget reports whether a target that was ready is absent or not ready any more.
func withdrawsTarget(old, changed []fleet.Target) bool {
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

// withOwnRecord returns the state with a new version of this node's own record, queued for gossip.
func (s State) withOwnRecord(m fleet.Member) State { return s.withRecord(m).queueGossip(m.Node) }

// publishOwnRecord applies a pending change that is due. It notifies several peers of an urgent change, and the platform of one
// that is to be registered.
func (s State) publishOwnRecord(now time.Time, _ uint64) (State, []effect.Effect) {
	host, ok := s.own.pending.Get()
	s.own.pending = fleet.Option[hostState]{}
	if ok && now.Sub(s.own.lastChange) >= changeInterval {
		s.own.lastChange = now
		s = s.withOwnRecord(s.selfWith(host))
	}
	var effects []effect.Effect
	if s.own.urgent {
		s.own.urgent = false
		s, effects = s.pingAll(s.selectPeers(urgentPeers, s.self))
	}
	if s.own.register && (s.seeds.read || s.sync.joined) {
		s.own.register = false
		effects = append(effects, effect.RegisterMember{Member: s.Self()})
	}
	return s, effects
}

// EarlierTombstones returns the tombstones in records that earlier processes of this node have written.
func (s State) EarlierTombstones(records []fleet.Member) []fleet.Tombstone {
	var tombstones []fleet.Tombstone
	for _, m := range records {
		if m.Node == s.self && m.Incarnation != s.Self().Incarnation {
			tombstones = append(tombstones, m.Tombstones...)
		}
	}
	return tombstones
}

// sendEarlierRecord sends a restarted node the record of its earlier process if that record has tombstones, before the new
// record replaces it here.
func (s State) sendEarlierRecord(envelope message.Envelope) []effect.Effect {
	known, ok := s.Member(envelope.From)
	if !ok || known.Incarnation >= envelope.Incarnation || len(known.Tombstones) == 0 {
		return nil
	}
	earlier := message.SyncReply{Number: reverseSyncNumber, Members: []fleet.Member{known}}
	return []effect.Effect{effect.SendMessage{To: envelope.From, Address: envelope.Address, Message: earlier}}
}

// refute replaces a record of this node that another node has written, such as a suspicion, by a newer one. A peer that sends
// an older record has missed the current one, which is sent again even if it was sent often enough before.
func (s State) refute(now time.Time, m fleet.Member) (State, []effect.Effect) {
	self := s.Self()
	if self.Supersedes(m) && !s.ownZoneGossip.contains(s.self) {
		return s.queueGossip(s.self), nil
	}
	if !m.Supersedes(self) {
		return s, nil
	}
	if m.Incarnation == self.Incarnation {
		self.Sequence = m.Sequence + 1
		return s.withOwnRecord(self), nil
	}
	if !s.started.IsZero() && now.Sub(s.started) > adoptWindow {
		return s, []effect.Effect{duplicateIDLog(m)}
	}
	self.Incarnation = m.Incarnation + 1
	return s.withOwnRecord(self), nil
}

func duplicateIDLog(m fleet.Member) effect.Effect {
	return effect.WriteLog{
		Level:     effect.Error,
		Component: "membership",
		Message:   "another process uses this node's id",
		Fields:    []effect.LogField{{Name: "Incarnation", Value: m.Incarnation}, {Name: "Address", Value: m.PeerAddress}},
	}
}

// Leave changes this node's status to Leaving and notifies several peers and the platform.
func (s State) Leave() (State, []effect.Effect) {
	self := s.Self().WithStatus(fleet.Leaving)
	self.Sequence++
	s = s.withOwnRecord(self)
	s, effects := s.pingAll(s.selectPeers(urgentPeers, s.self))
	return s, append(effects, effect.RegisterMember{Member: self})
}
