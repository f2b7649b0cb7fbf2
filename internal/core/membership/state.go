// Package membership keeps the member records of the fleet by gossip (SWIM) and derives the directory of targets.
//
// # Usage
//
//	state := membership.New(record)
//	state, effects := state.Tick(now, random)
//	state, effects = state.Received(now, envelope)
//	candidates := state.Directory().Pool("catalogue")
//
// A node probes one peer a second, directly and then through others, and suspects a peer that does not answer. Most of the
// probes stay within the availability zone, because bytes between zones are dear; the other zones hear of what one zone
// found out by the few that leave it, and requests find an unreachable node of another zone by themselves. A suspect
// refutes with a higher sequence number, or is dead after a time that grows with the logarithm of the fleet. Changed
// records ride on probes and their answers, each a bounded number of times, so the number and the size of messages do not
// grow with the fleet. A pull of differing records from one random peer repairs what gossip missed.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// State holds every member record that this node knows.
type State struct {
	self fleet.NodeID
	// members holds pointers to immutable records, so that a change of the map copies little.
	members   fleet.Map[fleet.NodeID, *fleet.Member]
	directory fleet.Directory
	// near holds the present members of this node's availability zone but itself, far those of the others.
	near, far ring
	// periods counts the probes, of which few go to another zone.
	periods uint64
	// farTurn is the remainder of periods by farPeriods in which a probe goes to another zone.
	farTurn  uint64
	sequence uint64
	probe    probe
	relays   fleet.Map[uint64, relay]
	// rumors go to members of this node's zone, away to those of other zones.
	rumors, away rumors
	// deadlines says when a suspected or leaving member counts as dead.
	deadlines fleet.Map[fleet.NodeID, time.Time]
	// tombstones says when a dead member's record is dropped, and buried at which of them the next look begins.
	tombstones fleet.Map[fleet.NodeID, time.Time]
	buried     fleet.NodeID
	own        own
	sync       sync
	seeds      seeds
	started    time.Time
	ticked     time.Time
	reconnect  reconnect
	refused    time.Time
}

// New returns the state of a node that knows only its own record.
func New(self fleet.Member) State {
	return State{self: self.Node}.with(self).spread(self.Node)
}

// with returns the state with a record that overrides the known one of the same node.
func (s State) with(m fleet.Member) State {
	old, known := s.Member(m.Node)
	s.members = s.members.With(m.Node, &m)
	s.directory = s.directory.WithMember(old, m)
	if m.Node == s.self || known && old.Routable() == m.Routable() && old.AvailabilityZone == m.AvailabilityZone {
		return s
	}
	if known && old.Routable() {
		s.near, s.far = s.near.without(m.Node), s.far.without(m.Node)
	}
	switch {
	case !m.Routable():
	case m.AvailabilityZone == s.Self().AvailabilityZone:
		s.near = s.near.with(m.Node)
	default:
		s.far = s.far.with(m.Node)
	}
	return s
}

// without returns the state without a member that is dead.
func (s State) without(id fleet.NodeID) State {
	s.members = s.members.Without(id)
	s.rumors, s.away = s.rumors.without(id), s.away.without(id)
	s.deadlines = s.deadlines.Without(id)
	s.tombstones = s.tombstones.Without(id)
	return s
}

// Self returns this node's own record.
func (s State) Self() fleet.Member {
	m, _ := s.Member(s.self)
	return m
}

// Member returns the record of a node.
func (s State) Member(id fleet.NodeID) (fleet.Member, bool) {
	m, ok := s.members.Get(id)
	if !ok {
		return fleet.Member{}, false
	}
	return *m, true
}

// Members returns all records in node id order.
func (s State) Members() []fleet.Member {
	members := make([]fleet.Member, 0, s.members.Len())
	for _, m := range s.members.All() {
		members = append(members, *m)
	}
	return members
}

// Len returns the number of records, this node's own among them.
func (s State) Len() int { return s.members.Len() }

// Directory returns the candidates of every pool.
func (s State) Directory() fleet.Directory { return s.directory }

// settleTime is how long after its start a node may not have heard of every target: targets announce themselves once a
// second or less, and their records spread for another second or two.
const settleTime = 4 * time.Second

// Settling reports whether this node has just started.
func (s State) Settling(now time.Time) bool { return now.Sub(s.started) < settleTime }

// PeerAddress returns the address for messages to a node.
func (s State) PeerAddress(id fleet.NodeID) (string, bool) {
	m, ok := s.Member(id)
	return m.PeerAddress, ok
}

// steps are what a tick does, in order.
var steps = []func(State, time.Time, uint64) (State, []effect.Effect){
	State.resume,
	State.seek,
	State.publish,
	State.expire,
	State.bury,
	State.probing,
	State.reconnecting,
	State.syncing,
}

// Tick probes a peer, ends suspicions, and renews what is due.
func (s State) Tick(now time.Time, random uint64) (State, []effect.Effect) {
	var effects []effect.Effect
	for _, step := range steps {
		next, more := step(s, now, random)
		s = next
		effects = append(effects, more...)
	}
	return s, effects
}

// MessageReceived handles a membership message.
func (s State) MessageReceived(now time.Time, envelope message.Envelope) (State, []effect.Effect) {
	if envelope.From == s.self {
		return s, nil
	}
	first := s.returned(envelope)
	s, effects := s.handle(now, envelope)
	return s, append(first, effects...)
}

func (s State) handle(now time.Time, envelope message.Envelope) (State, []effect.Effect) {
	switch m := envelope.Message.(type) {
	case message.Ping:
		return s.pinged(now, envelope, m)
	case message.Ack:
		return s.acked(now, m)
	case message.PingRequest:
		return s.pingAsked(now, envelope, m)
	case message.SyncRequest:
		return s.syncAsked(envelope, m)
	case message.SyncReply:
		return s.synced(now, m)
	}
	return s, nil
}

// peers returns up to count present members other than except, from a place in the rings that moves with each message.
// Half of them are in other zones, so that one message reaches every zone soon.
func (s State) peers(count int, except fleet.NodeID) []fleet.Member {
	away := s.far.some(count/2, except, s.sequence)
	ids := append(s.near.some(count-len(away), except, s.sequence), away...)
	if missing := count - len(ids); missing > 0 {
		ids = append(ids, s.far.some(len(away)+missing, except, s.sequence)[len(away):]...)
	}
	return s.membersOf(ids)
}

// farPeers returns up to count present members of other zones.
func (s State) farPeers(count int) []fleet.Member {
	return s.membersOf(s.far.some(count, s.self, s.sequence))
}

func (s State) membersOf(ids []fleet.NodeID) []fleet.Member {
	found := make([]fleet.Member, 0, len(ids))
	for _, id := range ids {
		m, _ := s.Member(id)
		found = append(found, m)
	}
	return found
}

// rounds is the logarithm of the fleet's size to base 2, rounded up: the rounds in which gossip reaches everyone.
func (s State) rounds() int { return bits.Len(uint(s.members.Len())) }

// jitter returns a duration between 0.8 and 1.2 times the interval, so that nodes started together drift apart.
func jitter(interval time.Duration, random uint64) time.Duration {
	return interval*4/5 + within(interval*2/5, random)
}

// within returns a duration from 0 up to the limit.
func within(limit time.Duration, random uint64) time.Duration {
	return time.Duration(random % uint64(limit))
}

func shuffled(ids []fleet.NodeID, random uint64) []fleet.NodeID {
	ids = slices.Clone(ids)
	source := rand.New(rand.NewPCG(random, 0))
	source.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}
