package membership

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// probePeriod is the time between two probes.
	probePeriod = time.Second
	// probesPerCrossZone is the number of probes of which one goes to another zone. A zone of eight nodes then probes the other
	// zones every two seconds.
	probesPerCrossZone = 16
	// firstCrossZoneProbe is the number of the probe period, the first one being 1, in which a node pings firstCrossZonePeers
	// members of other zones to pass on the records of its own zone: targets send their first heartbeat within 1.5 s, and their
	// zone knows them two probes later. With two such peers, three of ten simulated starts had a node that lacked a target after
	// 8 s.
	firstCrossZoneProbe = 4
	firstCrossZonePeers = 3
	// ownZoneWait is how long a starting node waits for a member of its own zone before it pulls the records of one in another
	// zone.
	ownZoneWait = 3 * time.Second
	// directTimeout is how long a node waits for an Ack before it asks other peers to probe. A new connection to another region
	// takes two round trips, and the rest of the period must suffice for an indirect probe.
	directTimeout = 400 * time.Millisecond
	// indirectProbes is the number of peers that are asked to probe.
	indirectProbes = 3
	// relayTimeout is how long a probe on behalf of another node is kept, and relayLimit the maximum number of them.
	relayTimeout = 2 * time.Second
	relayLimit   = 256
	// reconnectInterval is the time between two pings to dead members, which reconnect the fleet after a partition.
	reconnectInterval = 5 * time.Second
)

// probe is the probe of the current period.
type probe struct {
	subject  fleet.NodeID
	sequence uint64
	started  time.Time
	// indirect is true if other peers were asked to probe, sendFailed if the ping could not be sent, so that they are asked
	// without waiting for directTimeout.
	indirect   bool
	sendFailed bool
}

// isPending reports whether the Ack of the subject is outstanding.
func (p probe) isPending() bool { return p.subject != "" }

// relay is a probe on behalf of another node.
type relay struct {
	subject   fleet.NodeID
	requester fleet.NodeID
	address   string
	sequence  uint64
	expires   time.Time
}

// runProbe runs one probe a period, first directly, then through other peers, and suspects the subject if neither succeeds.
func (s State) runProbe(now time.Time, random uint64) (State, []effect.Effect) {
	s = s.dropExpiredRelays(now)
	waited := now.Sub(s.probe.started)
	if s.probe.isPending() && !s.probe.indirect && (s.probe.sendFailed || waited >= directTimeout) {
		return s.probeIndirectly()
	}
	if waited < probePeriod {
		return s, nil
	}
	if s.probe.isPending() {
		s = s.suspectMember(now, s.probe.subject)
	}
	return s.startProbe(now, random)
}

// startProbe probes the next member of one of the rings.
func (s State) startProbe(now time.Time, random uint64) (State, []effect.Effect) {
	s.probe = probe{started: now}
	if s.probeCount == 0 {
		s.crossZoneTurn = random % probesPerCrossZone
	}
	s.probeCount++
	var id fleet.NodeID
	switch {
	case len(s.otherZones.ids) > 0 && (len(s.ownZone.ids) == 0 || s.isCrossZoneTurn()):
		s.otherZones, id = s.otherZones.advance(random)
	case len(s.ownZone.ids) > 0:
		s.ownZone, id = s.ownZone.advance(random)
	default:
		return s, nil
	}
	m, _ := s.Member(id)
	s, ping := s.ping(m.Node, m.PeerAddress)
	s.probe.subject = m.Node
	s.probe.sequence = s.sequence
	if s.probeCount != firstCrossZoneProbe {
		return s, []effect.Effect{ping}
	}
	s, pings := s.pingAll(s.crossZonePeers(s.crossZoneShare(firstCrossZonePeers)))
	return s, append(pings, ping)
}

// isCrossZoneTurn reports whether the probe of this period goes to another zone. Nodes that started together take turns.
func (s State) isCrossZoneTurn() bool {
	return s.probeCount%probesPerCrossZone == s.crossZoneTurn
}

// ping returns a Ping with the next sequence number.
func (s State) ping(to fleet.NodeID, address string) (State, effect.Effect) {
	s.sequence++
	s, records := s.takeGossip(to)
	s.kept = s.kept.withPing(s.self, s.sequence, records)
	return s, effect.SendMessage{To: to, Address: address, Message: message.Ping{Sequence: s.sequence, Members: records}}
}

// pingAll pings several members with the least sent records.
func (s State) pingAll(members []fleet.Member) (State, []effect.Effect) {
	effects := make([]effect.Effect, 0, len(members))
	for _, m := range members {
		next, ping := s.ping(m.Node, m.PeerAddress)
		s = next
		effects = append(effects, ping)
	}
	return s, effects
}

func (s State) probeIndirectly() (State, []effect.Effect) {
	s.probe.indirect = true
	subject, _ := s.Member(s.probe.subject)
	request := message.PingRequest{Sequence: s.probe.sequence, Subject: subject.Node, Address: subject.PeerAddress}
	var effects []effect.Effect
	for _, m := range s.selectPeers(indirectProbes, subject.Node) {
		effects = append(effects, effect.SendMessage{To: m.Node, Address: m.PeerAddress, Message: request})
	}
	return s, effects
}

// MessageSendFailed records that a message to a node could not be sent. Other peers are asked to probe the node at the next
// tick, since only they can rule out a fault on this side.
func (s State) MessageSendFailed(to fleet.NodeID) State {
	if s.probe.subject == to {
		s.probe.sendFailed = true
	}
	return s
}

func (s State) pingReceived(now time.Time, envelope message.Envelope, m message.Ping) (State, []effect.Effect) {
	s, effects := s.mergeAll(now, m.Members, true)
	s, records := s.takeGossip(envelope.From)
	effects = append(effects, effect.SendMessage{
		To:      envelope.From,
		Address: envelope.Address,
		Message: message.Ack{Sequence: m.Sequence, Subject: s.self, Members: records},
	})
	if s.sync.joined || s.sync.isRunning() || s.waitsForOwnZone(now, envelope.From) {
		return s, effects
	}
	s, request := s.startSync(now, fleet.Member{Node: envelope.From, PeerAddress: envelope.Address})
	return s, append(effects, request)
}

// waitsForOwnZone reports whether a starting node should not yet pull records from another zone, but wait for a member of its own
// zone. One soon appears if the nodes of a fleet start together.
func (s State) waitsForOwnZone(now time.Time, from fleet.NodeID) bool {
	m, known := s.Member(from)
	sameZone := known && m.AvailabilityZone == s.Self().AvailabilityZone
	return !sameZone && now.Sub(s.started) < ownZoneWait
}

// ackReceived ends this node's probe or forwards the Ack to the node that requested it. Its subject must be the node that was
// probed, since another node may have taken over the address.
func (s State) ackReceived(now time.Time, m message.Ack) (State, []effect.Effect) {
	s, effects := s.mergeAll(now, m.Members, true)
	if s.probe.isPending() && m.Sequence == s.probe.sequence && m.Subject == s.probe.subject {
		s.probe.subject = ""
	}
	if r, ok := s.relays.Get(m.Sequence); ok && r.subject == m.Subject {
		s.relays = s.relays.Without(m.Sequence)
		effects = append(effects, effect.SendMessage{
			To:      r.requester,
			Address: r.address,
			Message: message.Ack{Sequence: r.sequence, Subject: r.subject},
		})
	}
	return s, effects
}

// pingRequestReceived probes a node on behalf of another one.
func (s State) pingRequestReceived(now time.Time, envelope message.Envelope, m message.PingRequest) (State, []effect.Effect) {
	if m.Subject == s.self || s.relays.Len() >= relayLimit {
		return s, nil
	}
	s, ping := s.ping(m.Subject, m.Address)
	s.relays = s.relays.With(s.sequence, relay{
		subject:   m.Subject,
		requester: envelope.From,
		address:   envelope.Address,
		sequence:  m.Sequence,
		expires:   now.Add(relayTimeout),
	})
	return s, []effect.Effect{ping}
}

// dropExpiredRelays drops relays whose requester has stopped waiting. Sequence numbers grow with time, so the oldest relays
// come first.
func (s State) dropExpiredRelays(now time.Time) State {
	for sequence, r := range s.relays.All() {
		if now.Before(r.expires) {
			break
		}
		s.relays = s.relays.Without(sequence)
	}
	return s
}

// reconnect holds when the next dead member is pinged, and which one was pinged last.
type reconnect struct {
	next time.Time
	last fleet.NodeID
}

// contactDeadMember pings a dead member from time to time. After a partition that member refutes its death; after a restart
// during an outage of the platform it learns of the fleet. The pings go through the dead members in id order. They start after
// the id of a peer from the shuffled rings, so that not all nodes ping the same member.
func (s State) contactDeadMember(now time.Time, random uint64) (State, []effect.Effect) {
	if now.Before(s.reconnect.next) {
		return s, nil
	}
	s.reconnect.next = now.Add(jitter(reconnectInterval, random))
	if peers := s.selectPeers(1, s.self); s.reconnect.last == "" && len(peers) > 0 {
		s.reconnect.last = peers[0].Node
	}
	id, ok := s.nextDead(s.reconnect.last)
	if !ok {
		return s, nil
	}
	s.reconnect.last = id
	m, _ := s.Member(id)
	s, ping := s.ping(id, m.PeerAddress)
	return s, []effect.Effect{ping}
}

// nextDead returns the dead member after an id, or the first one.
func (s State) nextDead(after fleet.NodeID) (fleet.NodeID, bool) {
	for id := range s.deadMembers.From(after) {
		if id != after {
			return id, true
		}
	}
	for id := range s.deadMembers.All() {
		return id, true
	}
	return "", false
}
