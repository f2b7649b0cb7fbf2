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
	// syncTimeout is how long a node waits for a reply, syncRetryDelay the delay before a node that has not joined asks another
	// peer.
	syncTimeout    = 3 * time.Second
	syncRetryDelay = time.Second
	// digestLength, syncRecords and syncTargets limit a SyncRequest to about 2 KB and its reply to about 10 KB without tombstones.
	digestLength = 64
	syncRecords  = 32
	syncTargets  = 256
	// reverseSyncNumber is the number of a request that is sent in reaction to another one, and causes none itself.
	reverseSyncNumber = 0
)

// syncState is a pull of differing records, one range of node ids after the other.
type syncState struct {
	peer   fleet.Member
	number uint64
	// after is the id after which the current range begins.
	after fleet.NodeID
	// deadline is the end of the wait for the current reply; zero if no pull is running.
	deadline time.Time
	// next is the time of the next pull.
	next time.Time
	// joined is true if this node has pulled all records once.
	joined bool
}

func (st syncState) isRunning() bool { return !st.deadline.IsZero() }

// runSync starts a pull when one is due and ends one without a reply.
func (s State) runSync(now time.Time, random uint64) (State, []effect.Effect) {
	if s.sync.isRunning() && now.Before(s.sync.deadline) || now.Before(s.sync.next) {
		return s, nil
	}
	s.sync.deadline = time.Time{}
	s.sync.next = now.Add(jitter(syncInterval, random))
	if !s.sync.joined {
		s.sync.next = now.Add(jitter(syncRetryDelay, random))
	}
	peers := s.selectPeers(1, s.self)
	if len(peers) == 0 {
		return s, nil
	}
	s, request := s.startSync(now, peers[0])
	return s, []effect.Effect{request}
}

func (s State) startSync(now time.Time, peer fleet.Member) (State, effect.Effect) {
	s.sync.peer = peer
	s.sync.after = ""
	return s.requestRange(now)
}

// requestRange requests the range after the last one.
func (s State) requestRange(now time.Time) (State, effect.Effect) {
	s.sequence++
	s.sync.number = s.sequence
	s.sync.deadline = now.Add(syncTimeout)
	digest, through := s.digest(s.sync.after)
	return s, effect.SendMessage{To: s.sync.peer.Node, Address: s.sync.peer.PeerAddress, Message: message.SyncRequest{
		Number:  s.sync.number,
		After:   s.sync.after,
		Through: through,
		Digest:  digest,
	}}
}

// digest returns the versions of the records after an id, and the last of their ids if there are more records.
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

// syncRequestReceived replies with the records that the requester lacks, and requests those that the requester has in a newer
// version.
func (s State) syncRequestReceived(envelope message.Envelope, m message.SyncRequest) (State, []effect.Effect) {
	effects := []effect.Effect{effect.SendMessage{To: envelope.From, Address: envelope.Address, Message: s.replyTo(m)}}
	if m.Number == reverseSyncNumber || !slices.ContainsFunc(m.Digest, s.isBehind) {
		return s, effects
	}
	digest, through := s.digest(m.After)
	if through == "" || m.Through != "" && through > m.Through {
		through = m.Through
	}
	return s, append(effects, effect.SendMessage{To: envelope.From, Address: envelope.Address, Message: message.SyncRequest{
		Number:  reverseSyncNumber,
		After:   m.After,
		Through: through,
		Digest:  digest,
	}})
}

// isBehind reports whether this node needs the record with the given version.
func (s State) isBehind(version message.MemberVersion) bool {
	known, ok := s.Member(version.Node)
	return needsRecord(versionOnly(version), known, ok)
}

// replyTo returns the records of the range that supersede those of the requester. If they are too many, the reply covers the
// first part of the range.
func (s State) replyTo(m message.SyncRequest) message.SyncReply {
	versions := make(map[fleet.NodeID]message.MemberVersion, len(m.Digest))
	for _, v := range m.Digest {
		versions[v.Node] = v
	}
	reply := message.SyncReply{Number: m.Number, Through: m.Through}
	targets := 0
	last := m.After
	for id, record := range s.members.From(m.After) {
		if m.Through != "" && id > m.Through {
			break
		}
		version, known := versions[id]
		if id == m.After || !needsRecord(*record, versionOnly(version), known) {
			last = id
			continue
		}
		targets += len(record.Targets)
		if len(reply.Members) == syncRecords || len(reply.Members) > 0 && targets > syncTargets {
			reply.Through = last
			break
		}
		reply.Members = append(reply.Members, outgoing(*record))
		last = id
	}
	return reply
}

// needsRecord reports whether a node with an old version of a record needs the record. A node without any version needs only
// records of routable members.
func needsRecord(record, old fleet.Member, known bool) bool {
	if !known {
		return record.Routable()
	}
	return record.Supersedes(old)
}

// versionOnly returns a record with the given version, without its other fields.
func versionOnly(version message.MemberVersion) fleet.Member {
	return fleet.Member{Incarnation: version.Incarnation, Sequence: version.Sequence, Status: version.Status}
}

// syncReplyReceived merges the records of a reply and requests the next range. The records that a starting node receives are not
// gossiped, since all other nodes know them already. Later, a record may be the first from the other side of a partition, and is
// gossiped.
func (s State) syncReplyReceived(now time.Time, m message.SyncReply) (State, []effect.Effect) {
	s, effects := s.mergeAll(now, m.Members, s.sync.joined)
	if !s.sync.isRunning() || m.Number != s.sync.number {
		return s, effects
	}
	if m.Through == "" {
		return s.endSync(now), effects
	}
	if m.Through <= s.sync.after {
		return s, effects
	}
	s.sync.after = m.Through
	s, request := s.requestRange(now)
	return s, append(effects, request)
}

// endSync ends a pull. After the first one, the node knows the fleet size and so how often its own record must be sent, and
// shuffles its rings, since all nodes learn the members in id order.
func (s State) endSync(now time.Time) State {
	s.sync.deadline = time.Time{}
	s.sync.next = now.Add(syncInterval)
	if s.sync.joined {
		return s
	}
	s.sync.joined = true
	s.ownZone, s.otherZones = s.ownZone.atEnd(), s.otherZones.atEnd()
	return s.queueGossip(s.self)
}
