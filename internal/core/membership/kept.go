package membership

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// maxCarried bounds the pings that are remembered until their Ack arrives.
const maxCarried = 64

// keptRecord tells which versions of this node's own record other parties have. After a restart the node recovers its tombstones
// from them.
type keptRecord struct {
	// tombstoneSequence is the sequence number of the first version with the newest tombstone.
	tombstoneSequence uint64
	// onPlatform and atPeer are the sequence numbers of the newest versions that the platform, in the current epoch of its data, and any
	// peer have confirmed.
	onPlatform, atPeer uint64
	// inZone holds the sequence numbers of the newest versions that any member of each other availability zone has confirmed.
	inZone fleet.Map[fleet.AvailabilityZone, uint64]
	// carried holds the sequence number of the own record in each recent ping, by the sequence number of the ping.
	carried fleet.Map[uint64, uint64]
}

// withPing returns the state after a ping with the given records.
func (k keptRecord) withPing(self fleet.NodeID, ping uint64, records []fleet.Member) keptRecord {
	own := slices.IndexFunc(records, func(m fleet.Member) bool { return m.Node == self })
	if own < 0 {
		return k
	}
	k.carried = k.carried.With(ping, records[own].Sequence)
	for oldest := range k.carried.All() {
		if k.carried.Len() <= maxCarried {
			break
		}
		k.carried = k.carried.Without(oldest)
	}
	return k
}

// withAck returns the state after the Ack of a ping by a member of a zone.
func (k keptRecord) withAck(ping uint64, zone fleet.AvailabilityZone) keptRecord {
	if sequence, ok := k.carried.Get(ping); ok {
		k.atPeer = max(k.atPeer, sequence)
		k.carried = k.carried.Without(ping)
		if known, ok := k.inZone.Get(zone); !ok || sequence > known {
			k.inZone = k.inZone.With(zone, sequence)
		}
	}
	return k
}

// EpochChanged handles a new epoch of the platform's data, which may lack this node's record or have an older version of it. The record is
// written again: at once if it has tombstones, since a restarted node learns of them there, and otherwise spread over the fleet.
func (s State) EpochChanged(now time.Time) State {
	s.kept.onPlatform = 0
	if len(s.Self().Tombstones) > 0 {
		s.own.register = true
		return s
	}
	s.seeds.nextRegistration = now
	return s
}

// MemberRegistered records that the platform has a version of this node's own record.
func (s State) MemberRegistered(sequence uint64) State {
	s.kept.onPlatform = max(s.kept.onPlatform, sequence)
	return s
}

// recordAck records that a peer has the version of this node's own record that its ping contained. An Ack that another node
// forwards confirms nothing, since that node has sent a ping of its own.
func (s State) recordAck(envelope message.Envelope, m message.Ack) State {
	if envelope.From == m.Subject {
		from, _ := s.Member(envelope.From)
		s.kept = s.kept.withAck(m.Sequence, from.AvailabilityZone)
	}
	return s
}

// TombstoneSequence returns the sequence number of the first version of this node's own record that has its newest tombstone.
func (s State) TombstoneSequence() uint64 { return s.kept.tombstoneSequence }

// KeptOnPlatform reports whether the platform has this version of the node's own record or a newer one.
func (s State) KeptOnPlatform(sequence uint64) bool { return s.kept.onPlatform >= sequence }

// KeptAtPeer reports whether any peer has this version of the node's own record or a newer one.
func (s State) KeptAtPeer(sequence uint64) bool { return s.kept.atPeer >= sequence }
