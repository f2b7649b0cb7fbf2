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
	// farPeriods is the number of probes of which one goes to another zone. A zone of eight nodes then probes the other zones
	// every two seconds.
	farPeriods = 16
	// firstFar is the period after its start in which a node tells firstFarPeers of other zones what its own zone has:
	// targets announce themselves within 1.5 s, and their zone knows of them two probes later. With two of them, three of ten
	// simulated starts had a node that lacked a target after 8 s.
	firstFar      = 4
	firstFarPeers = 3
	// nearWait is how long a starting node waits for a member of its own zone before it pulls the records of one far away.
	nearWait = 3 * time.Second
	// directTimeout is the wait for an Ack before others are asked to probe. A new connection to another region takes two
	// round trips, and the rest of the period must suffice for an indirect probe.
	directTimeout = 400 * time.Millisecond
	// indirectProbes is how many peers are asked to probe.
	indirectProbes = 3
	// relayTime is how long a probe on behalf of another node is remembered, and relayLimit how many are.
	relayTime  = 2 * time.Second
	relayLimit = 256
	// reconnectInterval is the time between two contacts with dead members, to find them again after a partition.
	reconnectInterval = 5 * time.Second
)

// probe is the probe of the current period.
type probe struct {
	subject  fleet.NodeID
	sequence uint64
	started  time.Time
	// indirect means that others were asked; unsent that the ping could not be sent, so that they are asked at once.
	indirect bool
	unsent   bool
}

// open reports whether the subject has still to answer.
func (p probe) open() bool { return p.subject != "" }

// relay is a probe on behalf of another node.
type relay struct {
	subject   fleet.NodeID
	requester fleet.NodeID
	address   string
	sequence  uint64
	until     time.Time
}

// probing runs one probe a period: directly, then through others; then it suspects the subject.
func (s State) probing(now time.Time, random uint64) (State, []effect.Effect) {
	s = s.dropRelays(now)
	waited := now.Sub(s.probe.started)
	if s.probe.open() && !s.probe.indirect && (s.probe.unsent || waited >= directTimeout) {
		return s.askOthers()
	}
	if waited < probePeriod {
		return s, nil
	}
	if s.probe.open() {
		s = s.suspect(now, s.probe.subject)
	}
	return s.startProbe(now, random)
}

// startProbe probes the next member of one of the rings.
func (s State) startProbe(now time.Time, random uint64) (State, []effect.Effect) {
	s.probe = probe{started: now}
	if s.periods == 0 {
		s.farTurn = random % farPeriods
	}
	s.periods++
	var id fleet.NodeID
	switch {
	case len(s.far.ids) > 0 && (len(s.near.ids) == 0 || s.leavesZone()):
		s.far, id = s.far.advanced(random)
	case len(s.near.ids) > 0:
		s.near, id = s.near.advanced(random)
	default:
		return s, nil
	}
	m, _ := s.Member(id)
	s, ping := s.ping(m.Node, m.PeerAddress)
	s.probe.subject = m.Node
	s.probe.sequence = s.sequence
	if s.periods != firstFar {
		return s, []effect.Effect{ping}
	}
	s, pings := s.pingAll(s.farPeers(firstFarPeers))
	return s, append(pings, ping)
}

// leavesZone reports whether the probe of this period goes to another zone. Nodes that started together take turns.
func (s State) leavesZone() bool {
	return s.periods%farPeriods == s.farTurn
}

// ping returns a Ping under the next sequence number.
func (s State) ping(to fleet.NodeID, address string) (State, effect.Effect) {
	s.sequence++
	s, records := s.gossip(to)
	return s, effect.SendMessage{To: to, Address: address, Message: message.Ping{Sequence: s.sequence, Members: records}}
}

// pingAll sends the least sent records to several members at once.
func (s State) pingAll(members []fleet.Member) (State, []effect.Effect) {
	effects := make([]effect.Effect, 0, len(members))
	for _, m := range members {
		next, ping := s.ping(m.Node, m.PeerAddress)
		s = next
		effects = append(effects, ping)
	}
	return s, effects
}

func (s State) askOthers() (State, []effect.Effect) {
	s.probe.indirect = true
	subject, _ := s.Member(s.probe.subject)
	request := message.PingRequest{Sequence: s.probe.sequence, Subject: subject.Node, Address: subject.PeerAddress}
	var effects []effect.Effect
	for _, m := range s.peers(indirectProbes, subject.Node) {
		effects = append(effects, effect.SendMessage{To: m.Node, Address: m.PeerAddress, Message: request})
	}
	return s, effects
}

// MessageSendFailed records that a message to a node could not be sent. Others are asked at the next tick; only they can confirm
// that the fault is not on this side.
func (s State) MessageSendFailed(to fleet.NodeID) State {
	if s.probe.subject == to {
		s.probe.unsent = true
	}
	return s
}

func (s State) pinged(now time.Time, envelope message.Envelope, m message.Ping) (State, []effect.Effect) {
	s, effects := s.mergeAll(now, m.Members, true)
	s, records := s.gossip(envelope.From)
	effects = append(effects, effect.SendMessage{
		To:      envelope.From,
		Address: envelope.Address,
		Message: message.Ack{Sequence: m.Sequence, Subject: s.self, Members: records},
	})
	if s.sync.joined || s.sync.running() || s.waitsForNear(now, envelope.From) {
		return s, effects
	}
	s, request := s.startSync(now, fleet.Member{Node: envelope.From, PeerAddress: envelope.Address})
	return s, append(effects, request)
}

// waitsForNear reports whether a starting node should pull its records from a member of its own zone instead, which is
// sure to show up when the nodes of a fleet start together.
func (s State) waitsForNear(now time.Time, from fleet.NodeID) bool {
	m, known := s.Member(from)
	near := known && m.AvailabilityZone == s.Self().AvailabilityZone
	return !near && now.Sub(s.started) < nearWait
}

// acked ends this node's probe or passes the answer on to the node that asked for it. The subject must be the one that
// was probed: another node may have taken over its address.
func (s State) acked(now time.Time, m message.Ack) (State, []effect.Effect) {
	s, effects := s.mergeAll(now, m.Members, true)
	if s.probe.open() && m.Sequence == s.probe.sequence && m.Subject == s.probe.subject {
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

// pingAsked probes a node on behalf of another one.
func (s State) pingAsked(now time.Time, envelope message.Envelope, m message.PingRequest) (State, []effect.Effect) {
	if m.Subject == s.self || s.relays.Len() >= relayLimit {
		return s, nil
	}
	s, ping := s.ping(m.Subject, m.Address)
	s.relays = s.relays.With(s.sequence, relay{
		subject:   m.Subject,
		requester: envelope.From,
		address:   envelope.Address,
		sequence:  m.Sequence,
		until:     now.Add(relayTime),
	})
	return s, []effect.Effect{ping}
}

// dropRelays forgets relays whose requester has given up. Sequence numbers grow with time, so the oldest come first.
func (s State) dropRelays(now time.Time) State {
	for sequence, r := range s.relays.All() {
		if now.Before(r.until) {
			break
		}
		s.relays = s.relays.Without(sequence)
	}
	return s
}

// reconnect is when a dead member is contacted next, and which one was contacted last.
type reconnect struct {
	next time.Time
	last fleet.NodeID
}

// reconnecting contacts one dead member now and then. After a partition it refutes its death; after a restart while the
// platform is down it learns of the fleet. The first one is drawn, so that not all nodes contact the same.
func (s State) reconnecting(now time.Time, random uint64) (State, []effect.Effect) {
	if now.Before(s.reconnect.next) {
		return s, nil
	}
	s.reconnect.next = now.Add(jitter(reconnectInterval, random))
	if peers := s.peers(1, s.self); s.reconnect.last == "" && len(peers) > 0 {
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
	for id := range s.tombstones.From(after) {
		if id != after {
			return id, true
		}
	}
	for id := range s.tombstones.All() {
		return id, true
	}
	return "", false
}
