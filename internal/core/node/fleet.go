package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/message"
)

// messageReceived hands a message to the part that speaks its protocol.
func (s State) messageReceived(ev event.Event, body event.MessageReceived) (State, []effect.Effect) {
	envelope := body.Envelope
	if s.membership.Stale(envelope) {
		next, effects := s.membership.Refused(ev.At, envelope)
		s.membership = next
		return s, effects
	}
	// A node without tables may hear from peers whose records it does not have yet, so the address is the envelope's.
	seen, effects := s.tables.Seen(ev.At, envelope.From, envelope.Address, envelope.Revision)
	s.tables = seen
	var more []effect.Effect
	switch body := envelope.Message.(type) {
	case message.TablesRequest, message.TablesContent:
		s.tables, more = s.tables.Received(ev.At, envelope)
	case message.LeaseRequest, message.LeaseGrant, message.LeaseRefusal, message.LeaseRelease, message.LeaseRecall:
		s.ejection, more = s.ejection.Received(s.ejectionContext(ev), envelope.From, envelope.Message)
	case message.Suspicions:
		s, more = s.suspicionsReceived(ev, body)
	case message.Sync:
		s, more = s.syncReceived(ev, envelope, body)
	default:
		s.membership, more = s.membership.Received(ev.At, envelope)
	}
	return s, append(effects, more...)
}

// syncReceived also looks for records of this node's earlier lives, with which peers answer it after a restart.
func (s State) syncReceived(ev event.Event, envelope message.Envelope, m message.Sync) (State, []effect.Effect) {
	s, effects := s.departuresRead(ev, m.Members)
	next, more := s.membership.Received(ev.At, envelope)
	s.membership = next
	return s, append(effects, more...)
}

func (s State) sendFailed(body event.SendFailed) (State, []effect.Effect) {
	s.membership = s.membership.SendFailed(body.To)
	return s, nil
}

func (s State) revisionSeen(ev event.Event, body event.RevisionSeen) (State, []effect.Effect) {
	address, ok := s.membership.PeerAddress(body.From)
	if !ok {
		return s, nil
	}
	next, effects := s.tables.Seen(ev.At, body.From, address, body.Revision)
	s.tables = next
	return s, effects
}
