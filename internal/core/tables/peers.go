package tables

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// askTimeout is how long a node waits for a peer's tables before it asks another. Peers answer in milliseconds.
	askTimeout = time.Second
	// askPause comes after tables of a peer that did not decode. Decoding takes about 0.2 s, and every message of a peer
	// would start it anew.
	askPause = 5 * time.Second
)

// maxHolders bounds the peers kept for the case that one does not answer. It keeps a step short in a fleet of any size.
const maxHolders = 8

// holder is a peer that showed a newer revision than the one in force.
type holder struct {
	address  string
	revision fleet.Revision
	// barred is when the peer may be asked again after its tables did not decode.
	barred time.Time
}

// ask is the request for the tables of one peer. At most one is under way.
type ask struct {
	// of is the peer that was asked; empty means none.
	of    fleet.NodeID
	until time.Time
	// decoding is the revision whose content is being decoded, and from is the peer that sent it; 0 means none.
	decoding fleet.Revision
	from     fleet.NodeID
}

// waiting reports whether an answer is still expected.
func (a ask) waiting(now time.Time) bool {
	return a.decoding != 0 || (a.of != "" && now.Before(a.until))
}

// decoded returns the ask after a revision was decoded or rejected. The answer of a peer that was asked before is still
// taken when it is newer.
func (a ask) decoded(r fleet.Revision) ask {
	if a.decoding != 0 && a.decoding != r {
		return a
	}
	return ask{}
}

// PeerRevisionSeen takes in the revision that another node showed, and asks for it when it is newer.
func (s State) PeerRevisionSeen(now time.Time, from fleet.NodeID, address string, r fleet.Revision) (State, []effect.Effect) {
	s.newest = max(s.newest, r)
	if r <= s.current.Revision {
		if s.holders.Len() > 0 {
			s.holders = s.holders.Without(from)
		}
		return s, nil
	}
	s = s.withHolder(from, address, r)
	if known, _ := s.holders.Get(from); now.Before(known.barred) || !s.mayAsk(now) {
		return s, nil
	}
	silent := s.ask.of
	s = s.dropSilent()
	if from == silent {
		// The next tick asks another peer, if there is one.
		return s, nil
	}
	return s.askPeer(now, from, address)
}

// withHolder notes a peer with a newer revision, if there is room.
func (s State) withHolder(id fleet.NodeID, address string, r fleet.Revision) State {
	known, ok := s.holders.Get(id)
	next := holder{address: address, revision: r, barred: known.barred}
	if known == next || (!ok && s.holders.Len() >= maxHolders) {
		return s
	}
	s.holders = s.holders.With(id, next)
	return s
}

// withoutOlder drops the peers whose revision is no longer newer.
func (s State) withoutOlder() State {
	for id, h := range s.holders.All() {
		if h.revision <= s.current.Revision {
			s.holders = s.holders.Without(id)
		}
	}
	return s
}

// barHolder keeps a peer whose tables did not decode from being asked for a while.
func (s State) barHolder(now time.Time, id fleet.NodeID) State {
	s.pause = now.Add(askPause)
	if h, ok := s.holders.Get(id); ok {
		h.barred = now.Add(rejectedDelay)
		s.holders = s.holders.With(id, h)
	}
	return s
}

// mayAsk reports whether a peer may be asked now.
func (s State) mayAsk(now time.Time) bool { return !s.ask.waiting(now) && !now.Before(s.pause) }

// askAny asks a randomly chosen peer that showed a newer revision, when there is one and none is being asked.
func (s State) askAny(now time.Time, random uint64) (State, []effect.Effect) {
	if !s.mayAsk(now) {
		return s, nil
	}
	s = s.dropSilent()
	var ids []fleet.NodeID
	for id, h := range s.holders.All() {
		if !now.Before(h.barred) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return s, nil
	}
	chosen := ids[random%uint64(len(ids))]
	h, _ := s.holders.Get(chosen)
	return s.askPeer(now, chosen, h.address)
}

// dropSilent forgets a peer that did not answer in time, until it shows its revision again.
func (s State) dropSilent() State {
	if s.ask.of != "" {
		s.holders = s.holders.Without(s.ask.of)
		s.ask = ask{}
	}
	return s
}

func (s State) askPeer(now time.Time, id fleet.NodeID, address string) (State, []effect.Effect) {
	s.ask = ask{of: id, until: now.Add(askTimeout)}
	return s, []effect.Effect{effect.SendMessage{
		To:      id,
		Address: address,
		Message: message.TablesRequest{Revision: s.current.Revision},
	}}
}

// MessageReceived handles a message about tables.
func (s State) MessageReceived(_ time.Time, envelope message.Envelope) (State, []effect.Effect) {
	switch m := envelope.Message.(type) {
	case message.TablesRequest:
		return s, s.reply(envelope, m)
	case message.TablesContent:
		return s.decode(envelope.From, m)
	default:
		return s, nil
	}
}

// reply sends the tables in force to a node that has an older revision.
func (s State) reply(envelope message.Envelope, m message.TablesRequest) []effect.Effect {
	if s.current.Revision <= m.Revision {
		return nil
	}
	return []effect.Effect{effect.SendMessage{
		To:      envelope.From,
		Address: envelope.Address,
		Message: message.TablesContent{Revision: s.current.Revision, Content: s.content},
	}}
}

// decode starts the decoding of what a peer sent. A late answer is as good as one in time; one that is not newer than the
// revision in force or under way is dropped.
func (s State) decode(from fleet.NodeID, m message.TablesContent) (State, []effect.Effect) {
	if from == s.ask.of {
		s.ask = ask{}
	}
	if m.Revision <= s.current.Revision || s.ask.decoding != 0 {
		return s, nil
	}
	s.ask = ask{decoding: m.Revision, from: from}
	return s, []effect.Effect{effect.DecodeTables{Revision: m.Revision, Content: m.Content}}
}
