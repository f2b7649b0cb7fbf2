package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/message"
)

// messageReceived hands a message to the part that speaks its protocol.
func (s State) messageReceived(ev event.Event, body event.MessageReceived) (State, []effect.Effect) {
	envelope := body.Envelope
	if s.membership.IsStale(envelope) {
		return s.withMembership(s.membership.StaleMessageIgnored(ev.At, envelope))
	}
	// A node without tables may hear from peers whose records it does not have yet, so the address is the envelope's.
	s, effects := s.withTables(s.tables.PeerRevisionSeen(ev.At, envelope.From, envelope.Address, envelope.Revision))
	var more []effect.Effect
	switch body := envelope.Message.(type) {
	case message.TablesRequest, message.TablesContent:
		s, more = s.withTables(s.tables.MessageReceived(ev.At, envelope))
	case message.LeaseRequest, message.LeaseGrant, message.LeaseRefusal, message.LeaseRelease, message.LeaseRecall:
		s.ejection, more = s.ejection.MessageReceived(s.ejectionContext(ev), envelope.From, envelope.Message)
	case message.CrashSuspicions:
		s, more = s.suspicionsReceived(ev, body)
	case message.SyncReply:
		s, more = s.syncReceived(ev, envelope, body)
	default:
		s, more = s.withMembership(s.membership.MessageReceived(ev.At, envelope))
	}
	return s, append(effects, more...)
}

// syncReceived also looks for records of this node's earlier lives, with which peers answer it after a restart.
func (s State) syncReceived(ev event.Event, envelope message.Envelope, m message.SyncReply) (State, []effect.Effect) {
	s, effects := s.departuresRead(ev, m.Members)
	s, more := s.withMembership(s.membership.MessageReceived(ev.At, envelope))
	return s, append(effects, more...)
}

func (s State) sendFailed(body event.MessageSendFailed) (State, []effect.Effect) {
	s.membership = new(s.membership.MessageSendFailed(body.To))
	return s, nil
}

func (s State) revisionSeen(ev event.Event, body event.PeerRevisionSeen) (State, []effect.Effect) {
	address, ok := s.membership.PeerAddress(body.From)
	if !ok {
		return s, nil
	}
	return s.withTables(s.tables.PeerRevisionSeen(ev.At, body.From, address, body.Revision))
}
