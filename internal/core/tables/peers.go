package tables

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// peerTimeout is the time after which a request for tables is sent to another peer. Peers reply within milliseconds.
	peerTimeout = time.Second
	// decodeFailurePause is the time without requests after a peer's tables were rejected. Decoding takes about 0.2 s, and
	// without a pause every message from a peer would start it again.
	decodeFailurePause = 5 * time.Second
)

// maxHolders is the maximum number of peers remembered as alternatives. It bounds the cost of a step in a fleet of any size.
const maxHolders = 8

// holder is a peer with a newer revision than the one in force.
type holder struct {
	address  string
	revision fleet.Revision
	// blockedUntil is the time until which the peer is not asked because its tables were rejected.
	blockedUntil time.Time
}

// peerRequest is the state of the request for a peer's tables, of which there is at most one.
type peerRequest struct {
	// peer is the peer that was asked; empty if there is none.
	peer      fleet.NodeID
	timeoutAt time.Time
	// decoding is the revision that is being decoded, or 0, and contentFrom is the peer that sent its content.
	decoding    fleet.Revision
	contentFrom fleet.NodeID
}

// pending reports whether a reply is expected or being decoded.
func (p peerRequest) pending(now time.Time) bool {
	return p.decoding != 0 || (p.peer != "" && now.Before(p.timeoutAt))
}

// afterDecoding returns the request after revision r was decoded or rejected. It is unchanged while another revision from a
// peer is being decoded. A pending request is dropped, but its reply is still accepted if it has a newer revision.
func (p peerRequest) afterDecoding(r fleet.Revision) peerRequest {
	if p.decoding != 0 && p.decoding != r {
		return p
	}
	return peerRequest{}
}

// PeerRevisionSeen handles the tables revision in a message of another node and requests the tables if they are newer.
func (s State) PeerRevisionSeen(now time.Time, from fleet.NodeID, address string, r fleet.Revision) (State, []effect.Effect) {
	s = s.withNewest(now, r)
	if r <= s.current.Revision {
		if s.holders.Len() > 0 {
			s.holders = s.holders.Without(from)
		}
		return s, nil
	}
	s = s.withHolder(from, address, r)
	if known, _ := s.holders.Get(from); now.Before(known.blockedUntil) || !s.mayRequest(now) || s.isDecodingHead(r) {
		return s, nil
	}
	unresponsive := s.peerRequest.peer
	s = s.dropUnresponsive()
	if from == unresponsive {
		// It has just timed out. The next tick asks another peer if there is one.
		return s, nil
	}
	return s.requestFrom(now, from, address)
}

// withHolder adds a peer with a newer revision if there is room for it.
func (s State) withHolder(id fleet.NodeID, address string, r fleet.Revision) State {
	known, ok := s.holders.Get(id)
	next := holder{address: address, revision: r, blockedUntil: known.blockedUntil}
	if known == next || (!ok && s.holders.Len() >= maxHolders) {
		return s
	}
	s.holders = s.holders.With(id, next)
	return s
}

// withoutOutdatedHolders removes the peers whose revision is not newer than the one in force.
func (s State) withoutOutdatedHolders() State {
	for id, h := range s.holders.All() {
		if h.revision <= s.current.Revision {
			s.holders = s.holders.Without(id)
		}
	}
	return s
}

// blockHolder pauses requests to all peers and, for longer, those to the peer whose tables were rejected.
func (s State) blockHolder(now time.Time, id fleet.NodeID) State {
	s.nextPeerRequest = now.Add(decodeFailurePause)
	if h, ok := s.holders.Get(id); ok {
		h.blockedUntil = now.Add(rejectedRetryDelay)
		s.holders = s.holders.With(id, h)
	}
	return s
}

// mayRequest reports whether a request to a peer may start now.
func (s State) mayRequest(now time.Time) bool {
	return !s.peerRequest.pending(now) && !now.Before(s.nextPeerRequest)
}

// isDecodingHead reports whether this node has the content of a revision, or of a newer one, from the platform's head and decodes it.
func (s State) isDecodingHead(r fleet.Revision) bool {
	return s.fetch.running >= r && len(s.fetch.head.Content) > 0
}

// requestFromAny requests the tables from a random peer that has a newer revision, unless a request is pending.
func (s State) requestFromAny(now time.Time, random uint64) (State, []effect.Effect) {
	if !s.mayRequest(now) {
		return s, nil
	}
	s = s.dropUnresponsive()
	var ids []fleet.NodeID
	for id, h := range s.holders.All() {
		if !now.Before(h.blockedUntil) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return s, nil
	}
	chosen := ids[random%uint64(len(ids))]
	h, _ := s.holders.Get(chosen)
	return s.requestFrom(now, chosen, h.address)
}

// dropUnresponsive removes the peer whose reply timed out. The next message that shows its newer revision adds it again.
func (s State) dropUnresponsive() State {
	if s.peerRequest.peer != "" {
		s.holders = s.holders.Without(s.peerRequest.peer)
		s.peerRequest = peerRequest{}
	}
	return s
}

func (s State) requestFrom(now time.Time, id fleet.NodeID, address string) (State, []effect.Effect) {
	s.peerRequest = peerRequest{peer: id, timeoutAt: now.Add(peerTimeout)}
	return s, []effect.Effect{effect.SendMessage{
		To:      id,
		Address: address,
		Message: message.TablesRequest{Revision: s.current.Revision, Parts: s.partSums()},
	}}
}

// MessageReceived handles a message that concerns the tables.
func (s State) MessageReceived(_ time.Time, envelope message.Envelope) (State, []effect.Effect) {
	switch m := envelope.Message.(type) {
	case message.TablesRequest:
		return s, s.replyWithTables(envelope, m)
	case message.TablesContent:
		return s.decodeContent(envelope.From, m)
	default:
		return s, nil
	}
}

// replyWithTables sends the tables in force to a node that has an older revision.
func (s State) replyWithTables(envelope message.Envelope, m message.TablesRequest) []effect.Effect {
	if s.current.Revision <= m.Revision {
		return nil
	}
	return []effect.Effect{effect.SendMessage{
		To:      envelope.From,
		Address: envelope.Address,
		Message: s.contentFor(m),
	}}
}

// decodeContent starts the decoding of the tables that a peer sent. A reply after the timeout is accepted. Content is dropped
// if it is not newer than the revision in force or if other content is being decoded.
func (s State) decodeContent(from fleet.NodeID, m message.TablesContent) (State, []effect.Effect) {
	if from == s.peerRequest.peer {
		s.peerRequest = peerRequest{}
	}
	if m.Revision <= s.current.Revision || s.peerRequest.decoding != 0 {
		return s, nil
	}
	content, ok := s.joined(m)
	if !ok {
		s.askWhole = true
		return s, nil
	}
	s.peerRequest = peerRequest{decoding: m.Revision, contentFrom: from}
	return s, []effect.Effect{effect.DecodeTables{Revision: m.Revision, Content: content}}
}
