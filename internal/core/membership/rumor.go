package membership

import (
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// recordsPerMessage and targetsPerMessage bound what rides on one message. With about 70 bytes a record and 26 bytes a
	// target a message has at most 3 KB, so that even a storm of changes stays within the 18 KB/s of a node. With 8 records
	// the zones of a fleet that starts together took twice as long to pass on what they had heard of the others.
	recordsPerMessage = 16
	targetsPerMessage = 64
	// sendsPerRound times the rounds of gossip is how often a record is sent. SWIM reaches everyone with high probability
	// from 3.
	sendsPerRound = 3
	// farSends is how often a node sends a record to other zones. The nodes of its zone do the same, so that a zone of eight
	// tells the others two dozen times.
	farSends = 3
)

// rumors are the members whose records are still to be sent, the least sent first.
type rumors struct {
	order fleet.Map[uint64, fleet.NodeID]
	keys  fleet.Map[fleet.NodeID, uint64]
	// serial keeps rumors that were sent equally often in the order in which they came.
	serial uint64
}

// A key has the number of sends above sendShift and the serial number below.
const sendShift = 48

// has reports whether a member's record is still to be sent.
func (r rumors) has(id fleet.NodeID) bool {
	_, ok := r.keys.Get(id)
	return ok
}

// with returns the rumors with a record that has not been sent.
func (r rumors) with(id fleet.NodeID) rumors { return r.without(id).put(id, 0) }

func (r rumors) put(id fleet.NodeID, sends uint64) rumors {
	r.serial++
	key := sends<<sendShift | r.serial
	r.order = r.order.With(key, id)
	r.keys = r.keys.With(id, key)
	return r
}

func (r rumors) without(id fleet.NodeID) rumors {
	if key, ok := r.keys.Get(id); ok {
		r.order = r.order.Without(key)
		r.keys = r.keys.Without(id)
	}
	return r
}

// sent counts one send of a record and drops it at the limit.
func (r rumors) sent(id fleet.NodeID, limit int) rumors {
	key, ok := r.keys.Get(id)
	if !ok {
		return r
	}
	r = r.without(id)
	sends := key>>sendShift + 1
	if sends >= uint64(limit) {
		return r
	}
	return r.put(id, sends)
}

// spread queues a member's record for its peers. The other zones hear of a record from the member's own zone only, as long
// as this node is not alone in its zone.
func (s State) spread(id fleet.NodeID) State {
	s.rumors = s.rumors.with(id)
	m, _ := s.Member(id)
	if m.AvailabilityZone == s.Self().AvailabilityZone || len(s.near.ids) == 0 {
		s.away = s.away.with(id)
	}
	return s
}

// gossip returns the records for a message to a peer. When this node holds the peer for anything but alive, the peer's own
// record comes first, so that the peer can refute it.
func (s State) gossip(to fleet.NodeID) (State, []fleet.Member) {
	var first []fleet.NodeID
	peer, known := s.Member(to)
	if known && peer.Status != fleet.Alive {
		first = append(first, to)
	}
	queue, limit := &s.rumors, sendsPerRound*s.rounds()
	if known && peer.AvailabilityZone != s.Self().AvailabilityZone {
		queue = &s.away
		if len(s.near.ids) > 0 {
			limit = farSends
		}
	}
	var records []fleet.Member
	targets := 0
	for _, id := range queue.least(first) {
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

// least returns the given ids and those of the least sent records, as many as fit into a message.
func (r rumors) least(ids []fleet.NodeID) []fleet.NodeID {
	for _, id := range r.order.All() {
		if len(ids) == recordsPerMessage {
			break
		}
		if len(ids) == 0 || id != ids[0] {
			ids = append(ids, id)
		}
	}
	return ids
}

// outgoing returns a record as it is sent: nobody uses the targets of a member that is leaving or dead.
func outgoing(m fleet.Member) fleet.Member {
	if !m.Routable() {
		m.Targets = nil
	}
	return m
}
