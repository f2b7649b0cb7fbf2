package membership

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// syncInterval is the time between two pulls of differing records from a random peer.
	syncInterval = 5 * time.Minute
	// syncTimeout is the wait for an answer; syncRetry the wait before a node without records asks another peer.
	syncTimeout = 3 * time.Second
	syncRetry   = time.Second
	// digestLength, syncRecords and syncTargets bound a SyncRequest and its answer to about 2 KB and 11 KB.
	digestLength = 64
	syncRecords  = 32
	syncTargets  = 256
	// inTurn is the number of a request that was provoked by another one, and provokes none.
	inTurn = 0
)

// sync is the pull of differing records, one range of node ids after the other.
type sync struct {
	peer   fleet.Member
	number uint64
	after  fleet.NodeID
	until  time.Time
	next   time.Time
	// joined means that this node has pulled all records once.
	joined bool
}

func (y sync) running() bool { return !y.until.IsZero() }

// syncing starts a pull when it is due and gives up one without an answer.
func (s State) syncing(now time.Time, random uint64) (State, []effect.Effect) {
	if s.sync.running() && now.Before(s.sync.until) || now.Before(s.sync.next) {
		return s, nil
	}
	s.sync.until = time.Time{}
	s.sync.next = now.Add(jitter(syncInterval, random))
	if !s.sync.joined {
		s.sync.next = now.Add(jitter(syncRetry, random))
	}
	peers := s.peers(1, s.self)
	if len(peers) == 0 {
		return s, nil
	}
	s, request := s.startSync(now, peers[0])
	return s, []effect.Effect{request}
}

func (s State) startSync(now time.Time, peer fleet.Member) (State, effect.Effect) {
	s.sync.peer = peer
	s.sync.after = ""
	return s.askRange(now)
}

// askRange asks for the range after the last one.
func (s State) askRange(now time.Time) (State, effect.Effect) {
	s.sequence++
	s.sync.number = s.sequence
	s.sync.until = now.Add(syncTimeout)
	digest, through := s.digest(s.sync.after)
	return s, effect.SendMessage{To: s.sync.peer.Node, Address: s.sync.peer.PeerAddress, Message: message.SyncRequest{
		Number:  s.sync.number,
		After:   s.sync.after,
		Through: through,
		Digest:  digest,
	}}
}

// digest returns the versions of the records after an id, and the last id when there are more.
func (s State) digest(after fleet.NodeID) ([]message.MemberVersion, fleet.NodeID) {
	var digest []message.MemberVersion
	for id, m := range s.members.From(after) {
		if id == after {
			continue
		}
		if len(digest) == digestLength {
			return digest, digest[digestLength-1].Node
		}
		digest = append(digest, message.MemberVersion{
			Node:        id,
			Incarnation: m.Incarnation,
			Sequence:    m.Sequence,
			Status:      m.Status,
		})
	}
	return digest, ""
}

// syncAsked answers with what the asker lacks, and asks in turn for what the asker has newer.
func (s State) syncAsked(envelope message.Envelope, m message.SyncRequest) (State, []effect.Effect) {
	effects := []effect.Effect{effect.SendMessage{To: envelope.From, Address: envelope.Address, Message: s.answer(m)}}
	if m.Number == inTurn || !slices.ContainsFunc(m.Digest, s.behind) {
		return s, effects
	}
	digest, through := s.digest(m.After)
	if through == "" || m.Through != "" && through > m.Through {
		through = m.Through
	}
	return s, append(effects, effect.SendMessage{To: envelope.From, Address: envelope.Address, Message: message.SyncRequest{
		Number:  inTurn,
		After:   m.After,
		Through: through,
		Digest:  digest,
	}})
}

// behind reports whether this node needs the record with the given version.
func (s State) behind(version message.MemberVersion) bool {
	known, ok := s.Member(version.Node)
	return needed(recordOf(version), known, ok)
}

// answer returns the records of the range that are newer than the asker's. When they are too many it covers the first
// part of the range.
func (s State) answer(m message.SyncRequest) message.SyncReply {
	versions := make(map[fleet.NodeID]message.MemberVersion, len(m.Digest))
	for _, v := range m.Digest {
		versions[v.Node] = v
	}
	answer := message.SyncReply{Number: m.Number, Through: m.Through}
	targets := 0
	last := m.After
	for id, record := range s.members.From(m.After) {
		if m.Through != "" && id > m.Through {
			break
		}
		version, known := versions[id]
		if id == m.After || !needed(*record, recordOf(version), known) {
			last = id
			continue
		}
		targets += len(record.Targets)
		if len(answer.Members) == syncRecords || len(answer.Members) > 0 && targets > syncTargets {
			answer.Through = last
			break
		}
		answer.Members = append(answer.Members, outgoing(*record))
		last = id
	}
	return answer
}

// needed reports whether a node whose own version of a record is old needs the record. A node without any version needs
// only records of members whose targets may be used.
func needed(record, old fleet.Member, known bool) bool {
	if !known {
		return record.Routable()
	}
	return record.Supersedes(old)
}

// recordOf returns a record with the given version, without its other fields.
func recordOf(version message.MemberVersion) fleet.Member {
	return fleet.Member{Incarnation: version.Incarnation, Sequence: version.Sequence, Status: version.Status}
}

// synced takes in an answer and asks for the next range. What a starting node learns is known everywhere else; later, a
// difference may be the first sign of the other side of a partition, and is passed on.
func (s State) synced(now time.Time, m message.SyncReply) (State, []effect.Effect) {
	s, effects := s.mergeAll(now, m.Members, s.sync.joined)
	if !s.sync.running() || m.Number != s.sync.number {
		return s, effects
	}
	if m.Through == "" {
		return s.syncEnded(now), effects
	}
	if m.Through <= s.sync.after {
		return s, effects
	}
	s.sync.after = m.Through
	s, request := s.askRange(now)
	return s, append(effects, request)
}

// syncEnded ends a pull. A node that has joined knows how often its record must be sent to reach the fleet, and probes in
// an order of its own; all nodes learn the members in the order of their ids.
func (s State) syncEnded(now time.Time) State {
	s.sync.until = time.Time{}
	s.sync.next = now.Add(syncInterval)
	if s.sync.joined {
		return s
	}
	s.sync.joined = true
	s.near, s.far = s.near.restarted(), s.far.restarted()
	return s.spread(s.self)
}
