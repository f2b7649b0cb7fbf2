package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/message"
)

// messageReceived passes a message to the component that handles it.
func (s State) messageReceived(ev event.Event, body event.MessageReceived) (State, []effect.Effect) {
	envelope := body.Envelope
	if s.membership.IsStale(envelope) {
		return s.withMembership(s.membership.StaleMessageIgnored(ev.At, envelope))
	}
	// A new node may not have the sender's member record yet, so the address comes from the envelope.
	s, effects := s.withTables(s.tables.PeerRevisionSeen(ev.At, envelope.From, envelope.Address, envelope.Revision))
	s, more := s.peerEpochSeen(ev, envelope)
	effects = append(effects, more...)
	switch body := envelope.Message.(type) {
	case message.TablesRequest, message.TablesContent:
		s, more = s.withTables(s.tables.MessageReceived(ev.At, envelope))
	case message.LeaseRequest, message.LeaseGrant, message.LeaseRefusal, message.LeaseRelease, message.LeaseRecall:
		s.ejection, more = s.ejection.MessageReceived(s.ejectionContext(ev), envelope.From, envelope.Message)
	case message.CrashSuspicions:
		s, more = s.crashSuspicionsReceived(ev, body)
	case message.UsageRequest, message.UsageReply:
		s, more = s.usageMessageReceived(ev, envelope)
	case message.SyncReply:
		s, more = s.syncReplyReceived(ev, envelope, body)
	default:
		s, more = s.withMembership(s.membership.MessageReceived(ev.At, envelope))
	}
	s.firstTables.asked = true
	s, first := s.releaseFirstTables(ev)
	return s, append(append(effects, more...), first...)
}

// syncReplyReceived also restores tombstones from records of this node's earlier processes, which peers send after a restart.
func (s State) syncReplyReceived(ev event.Event, envelope message.Envelope, m message.SyncReply) (State, []effect.Effect) {
	s, effects := s.restoreTombstones(ev, m.Members)
	s, more := s.withMembership(s.membership.MessageReceived(ev.At, envelope))
	return s, append(effects, more...)
}

func (s State) messageSendFailed(ev event.Event, body event.MessageSendFailed) (State, []effect.Effect) {
	s.membership = new(s.membership.MessageSendFailed(body.To))
	return s.usageSendFailed(ev, body.To)
}

func (s State) peerRevisionSeen(ev event.Event, body event.PeerRevisionSeen) (State, []effect.Effect) {
	address, ok := s.membership.PeerAddress(body.From)
	if !ok {
		return s, nil
	}
	return s.withTables(s.tables.PeerRevisionSeen(ev.At, body.From, address, body.Revision))
}
