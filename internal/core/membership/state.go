// Package membership maintains the member records of the fleet by SWIM gossip and derives the directory of targets from them.
//
// # Usage
//
//	state := membership.New(record)
//	state, effects := state.Tick(now, random)
//	state, effects = state.MessageReceived(now, envelope)
//	candidates := state.Directory().Candidates("catalogue")
//
// # Protocol
//
// A node probes one peer a second, directly and then through other peers, and suspects a peer that sends no Ack. Most probes
// stay within the availability zone, because cross-zone traffic is expensive. The few that leave it carry the changes in one zone
// to the others, and an ingress notices by itself that a node of another zone is unreachable. A suspect refutes the suspicion
// with a higher sequence number, or is declared dead after a time that grows with the logarithm of the fleet size. Changed
// records are piggybacked on pings and acks, each a bounded number of times, so the number and the size of messages do not grow
// with the fleet. From time to time a node pulls the records that differ from those of a random peer, which repairs what gossip
// missed.
package membership

import (
	"iter"
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
	// ownZone lists the routable members of this node's availability zone except itself, otherZones those of the other zones.
	ownZone, otherZones ring
	// probeCount is the number of probe periods so far. It determines which probes go to another zone.
	probeCount uint64
	// crossZoneTurn is the value of probeCount modulo probesPerCrossZone at which a probe goes to another zone.
	crossZoneTurn uint64
	// sequence is the number of the last Ping or SyncRequest that this node sent.
	sequence uint64
	probe    probe
	relays   fleet.Map[uint64, relay]
	// ownZoneGossip is sent to members of this node's zone, crossZoneGossip to those of other zones.
	ownZoneGossip, crossZoneGossip gossipQueue
	// deadlines holds the times at which suspected and leaving members count as dead.
	deadlines fleet.Map[fleet.NodeID, time.Time]
	// deadMembers holds the times at which the records of dead members are dropped, deadCursor the member at which the next check
	// begins.
	deadMembers  fleet.Map[fleet.NodeID, time.Time]
	deadCursor   fleet.NodeID
	own          ownRecord
	kept         keptRecord
	sync         syncState
	announcement announcement
	seeds        seeds
	started      time.Time
	lastTick     time.Time
	reconnect    reconnect
	staleLogged  time.Time
	// meteredZones is true if bytes between availability zones are expensive.
	meteredZones bool
}

// New returns the state of a node that knows only its own record.
func New(self fleet.Member) State {
	return State{self: self.Node}.withRecord(self).queueGossip(self.Node)
}

// withRecord returns the state with a record that replaces the known one of the same node.
func (s State) withRecord(m fleet.Member) State {
	old, known := s.Member(m.Node)
	s.members = s.members.With(m.Node, &m)
	s.directory = s.directory.WithMember(old, m)
	if m.Node == s.self || known && old.Routable() == m.Routable() && old.AvailabilityZone == m.AvailabilityZone {
		return s
	}
	if known && old.Routable() {
		s.ownZone, s.otherZones = s.ownZone.without(m.Node), s.otherZones.without(m.Node)
	}
	switch {
	case !m.Routable():
	case m.AvailabilityZone == s.Self().AvailabilityZone:
		s.ownZone = s.ownZone.with(m.Node)
	default:
		s.otherZones = s.otherZones.with(m.Node)
	}
	return s
}

// withoutMember returns the state without a dead member.
func (s State) withoutMember(id fleet.NodeID) State {
	s.members = s.members.Without(id)
	s.ownZoneGossip, s.crossZoneGossip = s.ownZoneGossip.without(id), s.crossZoneGossip.without(id)
	s.deadlines = s.deadlines.Without(id)
	s.deadMembers = s.deadMembers.Without(id)
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

// All yields all records in node id order. The records must not be modified.
func (s State) All() iter.Seq2[fleet.NodeID, *fleet.Member] { return s.members.All() }

// Len returns the number of records, including this node's own.
func (s State) Len() int { return s.members.Len() }

// Directory returns the candidates of every pool.
func (s State) Directory() fleet.Directory { return s.directory }

// startupDuration is how long after its start a node may lack targets: targets send a heartbeat about once a second, and their
// records take another second or two to spread.
const startupDuration = 4 * time.Second

// JustStarted reports whether this node has just started and may lack targets.
func (s State) JustStarted(now time.Time) bool { return now.Sub(s.started) < startupDuration }

// PeerAddress returns the address for messages to a node.
func (s State) PeerAddress(id fleet.NodeID) (string, bool) {
	m, ok := s.Member(id)
	return m.PeerAddress, ok
}

// tickSteps lists the steps of a tick in order.
var tickSteps = []func(State, time.Time, uint64) (State, []effect.Effect){
	State.resumeAfterPause,
	State.discover,
	State.publishOwnRecord,
	State.announceOwnRecord,
	State.expireDeadlines,
	State.dropDeadMembers,
	State.runProbe,
	State.contactDeadMember,
	State.runSync,
}

// Tick runs the periodic work that is due, such as probing a peer and expiring suspicions.
func (s State) Tick(now time.Time, random uint64) (State, []effect.Effect) {
	var effects []effect.Effect
	for _, step := range tickSteps {
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
	first := s.sendEarlierRecord(envelope)
	s, effects := s.handle(now, envelope)
	return s, append(first, effects...)
}

func (s State) handle(now time.Time, envelope message.Envelope) (State, []effect.Effect) {
	switch m := envelope.Message.(type) {
	case message.Ping:
		return s.pingReceived(now, envelope, m)
	case message.Ack:
		return s.recordAck(envelope, m).ackReceived(now, m)
	case message.PingRequest:
		return s.pingRequestReceived(now, envelope, m)
	case message.SyncRequest:
		return s.syncRequestReceived(envelope, m)
	case message.SyncReply:
		return s.syncReplyReceived(now, m)
	}
	return s, nil
}

// selectPeers returns up to count routable members other than except, starting at an index in the rings that moves with each
// message. Half of them are in other zones, so that a change soon reaches every zone.
func (s State) selectPeers(count int, except fleet.NodeID) []fleet.Member {
	crossZone := s.otherZones.pick(count/2, except, s.sequence)
	ids := append(s.ownZone.pick(count-len(crossZone), except, s.sequence), crossZone...)
	if missing := count - len(ids); missing > 0 {
		ids = append(ids, s.otherZones.pick(len(crossZone)+missing, except, s.sequence)[len(crossZone):]...)
	}
	return s.membersOf(ids)
}

// crossZonePeers returns up to count routable members of other zones.
func (s State) crossZonePeers(count int) []fleet.Member {
	return s.membersOf(s.otherZones.pick(count, s.self, s.sequence))
}

func (s State) membersOf(ids []fleet.NodeID) []fleet.Member {
	found := make([]fleet.Member, 0, len(ids))
	for _, id := range ids {
		m, _ := s.Member(id)
		found = append(found, m)
	}
	return found
}

// gossipRounds returns the number of rounds in which gossip reaches all members: the base-2 logarithm of the fleet size,
// rounded down, plus one.
func (s State) gossipRounds() int { return bits.Len(uint(s.members.Len())) }

// jitter returns a duration between 0.8 and 1.2 times the interval, so that nodes started together do not act at the same time.
func jitter(interval time.Duration, random uint64) time.Duration {
	return interval*4/5 + randomDelay(interval*2/5, random)
}

// randomDelay returns a duration from 0 up to the limit.
func randomDelay(limit time.Duration, random uint64) time.Duration {
	return time.Duration(random % uint64(limit))
}

func shuffled(ids []fleet.NodeID, random uint64) []fleet.NodeID {
	ids = slices.Clone(ids)
	source := rand.New(rand.NewPCG(random, 0))
	source.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}
