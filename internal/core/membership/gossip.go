package membership

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// recordsPerMessage and targetsPerMessage limit the records piggybacked on one message. With about 70 bytes a record and 26
	// bytes a target a message has at most 3 KB, so that even a burst of changes stays within the budget of 18 KB/s of a node.
	// With 8 records, the zones of a fleet that starts together took twice as long to spread the records received from the others.
	recordsPerMessage = 16
	targetsPerMessage = 64
	// sendsPerRound times the number of gossip rounds is how often a record is sent. With 3 or more, SWIM reaches all members with
	// high probability.
	sendsPerRound = 3
	// crossZoneSends is how often a node sends a record to other zones. The other nodes of its zone do the same, so a zone of
	// eight sends the record two dozen times.
	crossZoneSends = 3
)

// gossipQueue holds the members whose records are still to be sent, the least sent first.
type gossipQueue struct {
	// order holds the members by key, keys the key of each member.
	order fleet.Map[uint64, fleet.NodeID]
	keys  fleet.Map[fleet.NodeID, uint64]
	// serial keeps records that were sent equally often in the order in which they were queued.
	serial uint64
}

// sendShift is the position of the number of sends in a key. The bits below it hold the serial number.
const sendShift = 48

// contains reports whether a member's record is still to be sent.
func (q gossipQueue) contains(id fleet.NodeID) bool {
	_, ok := q.keys.Get(id)
	return ok
}

// with returns the queue with a record that has not been sent.
func (q gossipQueue) with(id fleet.NodeID) gossipQueue { return q.without(id).put(id, 0) }

func (q gossipQueue) put(id fleet.NodeID, sends uint64) gossipQueue {
	q.serial++
	key := sends<<sendShift | q.serial
	q.order = q.order.With(key, id)
	q.keys = q.keys.With(id, key)
	return q
}

func (q gossipQueue) without(id fleet.NodeID) gossipQueue {
	if key, ok := q.keys.Get(id); ok {
		q.order = q.order.Without(key)
		q.keys = q.keys.Without(id)
	}
	return q
}

// sent counts one send of a record and drops it at the limit.
func (q gossipQueue) sent(id fleet.NodeID, limit int) gossipQueue {
	key, ok := q.keys.Get(id)
	if !ok {
		return q
	}
	q = q.without(id)
	sends := key>>sendShift + 1
	if sends >= uint64(limit) {
		return q
	}
	return q.put(id, sends)
}

// queueGossip queues a member's record for gossip. Only nodes in the member's own zone send it to other zones, unless this node
// is alone in its zone.
func (s State) queueGossip(id fleet.NodeID) State {
	s.ownZoneGossip = s.ownZoneGossip.with(id)
	m, _ := s.Member(id)
	if m.AvailabilityZone == s.Self().AvailabilityZone || len(s.ownZone.ids) == 0 {
		s.crossZoneGossip = s.crossZoneGossip.with(id)
	}
	return s
}

// takeGossip returns the records for a message to a peer and counts them as sent. If the peer is not alive in the
// records of this node, the peer's own record comes first, so that the peer can refute it.
func (s State) takeGossip(to fleet.NodeID) (State, []fleet.Member) {
	var first []fleet.NodeID
	peer, known := s.Member(to)
	if known && peer.Status != fleet.Alive {
		first = append(first, to)
	}
	queue, limit := &s.ownZoneGossip, sendsPerRound*s.gossipRounds()
	if known && peer.AvailabilityZone != s.Self().AvailabilityZone {
		queue = &s.crossZoneGossip
		if len(s.ownZone.ids) > 0 {
			limit = s.crossZoneShare(crossZoneSends)
		}
	}
	var records []fleet.Member
	targets := 0
	for _, id := range queue.leastSent(first) {
		m, _ := s.Member(id)
		m = outgoing(m)
		targets += len(m.Targets)
		if len(records) > 0 && targets > targetsPerMessage {
			break
		}
		records = append(records, m)
		*queue = queue.sent(id, limit)
	}
	return s, records
}

// leastSent returns the given ids followed by those of the least sent records, as many as fit into a message.
func (q gossipQueue) leastSent(ids []fleet.NodeID) []fleet.NodeID {
	for _, id := range q.order.All() {
		if len(ids) == recordsPerMessage {
			break
		}
		if len(ids) == 0 || id != ids[0] {
			ids = append(ids, id)
		}
	}
	return ids
}

// outgoing returns a record as it is sent: without targets if the member is leaving or dead, since they are not used.
func outgoing(m fleet.Member) fleet.Member {
	if !m.Routable() {
		m.Targets = nil
	}
	return m
}
