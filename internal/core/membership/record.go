package membership

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// suspicionPerRound times the number of gossip rounds is the time within which a suspect can refute the suspicion: 20 s in
	// a fleet of 540. The suspicion reaches the suspect within one second per round, and the refutation takes as long. An ingress
	// stops using a node as soon as it cannot reach it, so no request waits for a suspicion to expire.
	suspicionPerRound = 2 * time.Second
	// leavingDuration is how long a member is shown as leaving. The node has stopped long before.
	leavingDuration = time.Minute
	// deadRetention is how long the record of a dead member is kept, so that an old record does not revive the member. Regions can
	// be partitioned for an hour, and pings to dead members reconnect them afterwards.
	deadRetention = 6 * time.Hour
	// deadPerTick is the maximum number of dead members that one tick checks. At ten ticks a second, 540 of them take 3.4 s.
	deadPerTick = 16
	// pauseThreshold is the time without a tick after which this process counts as having been paused.
	pauseThreshold = 2 * time.Second
	// staleLogInterval is the minimum time between two log lines on messages with a stale incarnation.
	staleLogInterval = time.Minute
)

// mergeAll merges the records of a message.
func (s State) mergeAll(now time.Time, records []fleet.Member, gossip bool) (State, []effect.Effect) {
	var effects []effect.Effect
	for _, m := range records {
		next, more := s.merge(now, m, gossip)
		s = next
		effects = append(effects, more...)
	}
	return s, effects
}

// merge applies a record if it supersedes the known one, and queues it for gossip if gossip is true.
func (s State) merge(now time.Time, m fleet.Member, gossip bool) (State, []effect.Effect) {
	known, ok := s.Member(m.Node)
	if m.Node == s.self {
		return s.refute(now, m)
	}
	if ok && !m.Supersedes(known) || !ok && !m.Routable() {
		return s, nil
	}
	s = s.applyRecord(now, outgoing(m))
	if gossip {
		s = s.queueGossip(m.Node)
	}
	switch {
	case m.Status == fleet.Dead:
		return s, []effect.Effect{deadLog(m)}
	case m.Routable() && (!ok || !known.Routable()):
		return s, []effect.Effect{presentLog(m)}
	default:
		return s, nil
	}
}

// applyRecord stores a record and updates the deadlines that depend on its status.
func (s State) applyRecord(now time.Time, m fleet.Member) State {
	s = s.noteZoneLoss(now, m).withRecord(m)
	s.deadlines = s.deadlines.Without(m.Node)
	s.deadMembers = s.deadMembers.Without(m.Node)
	switch m.Status {
	case fleet.Suspect:
		s.deadlines = s.deadlines.With(m.Node, now.Add(suspicionPerRound*time.Duration(s.gossipRounds())))
	case fleet.Leaving:
		s.deadlines = s.deadlines.With(m.Node, now.Add(leavingDuration))
	case fleet.Dead:
		s.deadMembers = s.deadMembers.With(m.Node, now.Add(deadRetention))
	case fleet.Alive:
	}
	return s
}

// suspectMember marks a member that did not respond to a probe.
func (s State) suspectMember(now time.Time, id fleet.NodeID) State {
	m, ok := s.Member(id)
	if !ok || m.Status != fleet.Alive {
		return s
	}
	return s.applyRecord(now, m.WithStatus(fleet.Suspect)).queueGossip(id)
}

// expireDeadlines marks members dead whose suspicion was not refuted in time or that have left.
func (s State) expireDeadlines(now time.Time, _ uint64) (State, []effect.Effect) {
	var effects []effect.Effect
	for id, deadline := range s.deadlines.All() {
		if now.Before(deadline) {
			continue
		}
		m, _ := s.Member(id)
		wasSuspect := m.Status == fleet.Suspect
		m = outgoing(m.WithStatus(fleet.Dead))
		s = s.applyRecord(now, m)
		if wasSuspect {
			s = s.queueGossip(id)
			effects = append(effects, deadLog(m))
		}
	}
	return s, effects
}

// dropDeadMembers drops the records of dead members that have expired. Each tick checks some of them and the next tick
// continues after those.
func (s State) dropDeadMembers(now time.Time, _ uint64) (State, []effect.Effect) {
	checked := 0
	next := fleet.NodeID("")
	for id, expires := range s.deadMembers.From(s.deadCursor) {
		if checked++; checked > deadPerTick {
			next = id
			break
		}
		if !now.Before(expires) {
			s = s.withoutMember(id)
		}
	}
	s.deadCursor = next
	return s, nil
}

// resumeAfterPause extends every deadline by the length of a pause of this process and cancels the probe in progress, since
// replies could not be received during the pause.
func (s State) resumeAfterPause(now time.Time, _ uint64) (State, []effect.Effect) {
	pause := now.Sub(s.lastTick)
	if !s.lastTick.IsZero() && pause > pauseThreshold {
		s.probe = probe{}
		for id, deadline := range s.deadlines.All() {
			s.deadlines = s.deadlines.With(id, deadline.Add(pause))
		}
	}
	s.lastTick = now
	return s, nil
}

// IsStale reports whether a message was sent by an earlier process of its sender, before a restart.
func (s State) IsStale(envelope message.Envelope) bool {
	m, ok := s.Member(envelope.From)
	return ok && envelope.Incarnation < m.Incarnation
}

// StaleMessageIgnored counts a stale message that was ignored. It logs at most one line a minute.
func (s State) StaleMessageIgnored(now time.Time, envelope message.Envelope) (State, []effect.Effect) {
	effects := []effect.Effect{effect.AddToCounter{Name: "messages_stale", Delta: 1}}
	if now.Sub(s.staleLogged) < staleLogInterval {
		return s, effects
	}
	s.staleLogged = now
	return s, append(effects, effect.WriteLog{
		Level:     effect.Warn,
		Component: "membership",
		Message:   "message with a stale incarnation ignored",
		Fields: []effect.LogField{
			{Name: "Peer", Value: envelope.From},
			{Name: "Incarnation", Value: envelope.Incarnation},
		},
	})
}

func presentLog(m fleet.Member) effect.Effect {
	return effect.WriteLog{
		Level:     effect.Info,
		Component: "membership",
		Message:   "node is present",
		Fields:    []effect.LogField{{Name: "Peer", Value: m.Node}, {Name: "Incarnation", Value: m.Incarnation}},
	}
}

func deadLog(m fleet.Member) effect.Effect {
	return effect.WriteLog{
		Level:     effect.Warn,
		Component: "membership",
		Message:   "node is dead",
		Fields:    []effect.LogField{{Name: "Peer", Value: m.Node}, {Name: "Incarnation", Value: m.Incarnation}},
	}
}
