package node

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
)

const (
	// platformAckWait is the time for which the acknowledgement of a leaving target waits for the platform to store its tombstone.
	// After that, a peer that has the tombstone suffices, which loses it if the whole fleet loses power.
	platformAckWait = 500 * time.Millisecond
	// ackTimeout is the time after which a leaving target gets no acknowledgement. Targets take one that arrives after a second for
	// lost.
	ackTimeout = 800 * time.Millisecond
)

// pendingAck is a call of a leaving target. It is acknowledged once this node's tombstone would survive a restart, since late
// heartbeats of the target would otherwise bring it back.
type pendingAck struct {
	id uint64
	// sequence is the version of this node's member record that has the tombstone.
	sequence  uint64
	requested time.Time
}

// acknowledge replies to a call of a target, now or, if the target is leaving, as soon as its tombstone is kept elsewhere.
func (s State) acknowledge(now time.Time, id uint64, leaving bool) (State, []effect.Effect) {
	ack := pendingAck{id: id, requested: now}
	if leaving {
		ack.sequence = s.membership.TombstoneSequence()
	}
	s.pendingAcks = append(slices.Clip(s.pendingAcks), ack)
	return s.completeAcks(now)
}

// completeAcks replies to the pending calls whose result is known.
func (s State) completeAcks(now time.Time) (State, []effect.Effect) {
	if len(s.pendingAcks) == 0 {
		return s, nil
	}
	var pending []pendingAck
	var effects []effect.Effect
	for _, ack := range s.pendingAcks {
		waited := now.Sub(ack.requested)
		kept := s.membership.KeptOnPlatform(ack.sequence) ||
			waited >= platformAckWait && s.membership.KeptAtPeer(ack.sequence)
		if !kept && waited < ackTimeout {
			pending = append(pending, ack)
			continue
		}
		effects = append(effects, effect.AcknowledgeTarget{AckID: ack.id, Accepted: kept})
		if !kept {
			effects = append(effects, effect.WriteLog{
				Level: effect.Warn, Component: "admission", Message: "target leaves, but only this node knows",
				Fields: []effect.LogField{{Name: "Waited", Value: waited}},
			})
		}
	}
	s.pendingAcks = pending
	return s, effects
}
