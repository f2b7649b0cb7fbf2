package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// epochSeen handles the epoch of an answer of the platform.
func (s State) epochSeen(ev event.Event, body event.EpochSeen) (State, []effect.Effect) {
	before := s.epoch.Current()
	next, changed := s.epoch.AnswerSeen(ev.At, body.Epoch)
	s.epoch = next
	if !changed {
		return s, nil
	}
	return s.epochChanged(ev, before, effect.LogField{Name: "Version", Value: body.Version})
}

// peerEpochSeen handles the epoch in a message of another node. A node whose watch waits on a connection that has outlived the restoration
// of the platform learns of it in this way, and so does one that can't reach the platform.
func (s State) peerEpochSeen(ev event.Event, envelope message.Envelope) (State, []effect.Effect) {
	before := s.epoch.Current()
	next, changed := s.epoch.PeerSeen(ev.At, epochOf(envelope.Message))
	s.epoch = next
	if !changed {
		return s, nil
	}
	return s.epochChanged(ev, before, effect.LogField{Name: "Peer", Value: string(envelope.From)})
}

// epochOf returns the epoch in a message; 0 if it has none.
func epochOf(m message.Message) fleet.Epoch {
	switch m := m.(type) {
	case message.Ping:
		return m.Epoch
	case message.Ack:
		return m.Epoch
	default:
		return 0
	}
}

// withEpoch returns a message with the sender's epoch, if it is of a kind that carries one.
func withEpoch(m message.Message, e fleet.Epoch) message.Message {
	switch m := m.(type) {
	case message.Ping:
		return m.WithEpoch(e)
	case message.Ack:
		return m.WithEpoch(e)
	default:
		return m
	}
}

// epochChanged ties what this node keeps of the platform's answers to a new current epoch. The field tells how the node has learned of it.
func (s State) epochChanged(ev event.Event, before fleet.Epoch, learned effect.LogField) (State, []effect.Effect) {
	if before == 0 {
		// This node has nothing from an earlier epoch.
		return s, nil
	}
	versionBefore := s.tables.Position().Version
	s.tables = new(s.tables.EpochChanged(ev.At, ev.Random, s.tablesFleet()))
	next, claims := s.orders.EpochChanged(ev.At, s.membership.Len())
	s.orders = next
	s, notifying := s.withMembership(s.membership.EpochChanged(ev.At).NotifyZonePeers())
	return s, append(notifying,
		effect.WriteLog{Level: effect.Warn, Component: "platform", Message: "the platform was restored from a copy", Fields: []effect.LogField{
			{Name: "Epoch", Value: uint64(s.epoch.Current())},
			{Name: "Before", Value: uint64(before)},
			learned,
			{Name: "VersionBefore", Value: versionBefore},
			{Name: "ClaimsWrittenAgain", Value: claims},
		}},
		effect.AddToCounter{Name: "platform_epochs", Delta: 1})
}
