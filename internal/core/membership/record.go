package membership

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

const (
	// suspicionPerRound times the rounds of gossip is the time a suspect has to refute: 20 s in a fleet of 540. The
	// suspicion reaches it within one round per second, and the answer takes as long. Ingresses avoid a node that they
	// cannot reach at once, so nothing waits for the end of a suspicion.
	suspicionPerRound = 2 * time.Second
	// leavingTime is how long a member is shown as leaving; it has left long before.
	leavingTime = time.Minute
	// tombstoneTime is how long a dead member is remembered, so that an old record does not bring it back. Regions are cut
	// off from each other for an hour, and dead members are contacted to find them again after the cut.
	tombstoneTime = 6 * time.Hour
	// tombstoneStep bounds the tombstones that one tick looks at. A tenth of a second each, those of 540 nodes take 4 s.
	tombstoneStep = 16
	// pauseTime without a tick means that this process was paused.
	pauseTime = 2 * time.Second
	// refusedInterval is the time between two log lines on messages of a stale incarnation.
	refusedInterval = time.Minute
)

// mergeAll takes in the records of a message.
func (s State) mergeAll(now time.Time, records []fleet.Member, spread bool) (State, []effect.Effect) {
	var effects []effect.Effect
	for _, m := range records {
		next, more := s.merge(now, m, spread)
		s = next
		effects = append(effects, more...)
	}
	return s, effects
}

// merge takes in a record, when it is newer than the known one, and passes it on when spread is set.
func (s State) merge(now time.Time, m fleet.Member, spread bool) (State, []effect.Effect) {
	known, ok := s.Member(m.Node)
	if m.Node == s.self {
		return s.refute(now, m)
	}
	if ok && !m.Supersedes(known) || !ok && !m.Routable() {
		return s, nil
	}
	s = s.judged(now, outgoing(m))
	if spread {
		s = s.spread(m.Node)
	}
	switch {
	case m.Status == fleet.Dead:
		return s, []effect.Effect{died(m)}
	case m.Routable() && (!ok || !known.Routable()):
		return s, []effect.Effect{present(m)}
	default:
		return s, nil
	}
}

// judged puts a record in force and starts or ends the times that go with its status.
func (s State) judged(now time.Time, m fleet.Member) State {
	s = s.with(m)
	s.deadlines = s.deadlines.Without(m.Node)
	s.tombstones = s.tombstones.Without(m.Node)
	switch m.Status {
	case fleet.Suspect:
		s.deadlines = s.deadlines.With(m.Node, now.Add(suspicionPerRound*time.Duration(s.rounds())))
	case fleet.Leaving:
		s.deadlines = s.deadlines.With(m.Node, now.Add(leavingTime))
	case fleet.Dead:
		s.tombstones = s.tombstones.With(m.Node, now.Add(tombstoneTime))
	case fleet.Alive:
	}
	return s
}

// suspect marks a member that answered no probe.
func (s State) suspect(now time.Time, id fleet.NodeID) State {
	m, ok := s.Member(id)
	if !ok || m.Status != fleet.Alive {
		return s
	}
	return s.judged(now, m.WithStatus(fleet.Suspect)).spread(id)
}

// expire ends suspicions that were not refuted.
func (s State) expire(now time.Time, _ uint64) (State, []effect.Effect) {
	var effects []effect.Effect
	for id, deadline := range s.deadlines.All() {
		if now.Before(deadline) {
			continue
		}
		m, _ := s.Member(id)
		wasSuspect := m.Status == fleet.Suspect
		m = outgoing(m.WithStatus(fleet.Dead))
		s = s.judged(now, m)
		if wasSuspect {
			s = s.spread(id)
			effects = append(effects, died(m))
		}
	}
	return s, effects
}

// bury drops some of the tombstones whose time is over, and goes on with the others in the next tick.
func (s State) bury(now time.Time, _ uint64) (State, []effect.Effect) {
	looked := 0
	next := fleet.NodeID("")
	for id, until := range s.tombstones.From(s.buried) {
		if looked++; looked > tombstoneStep {
			next = id
			break
		}
		if !now.Before(until) {
			s = s.without(id)
		}
	}
	s.buried = next
	return s, nil
}

// resume gives every suspect and the running probe their time again after a pause of this process, in which it could not
// hear their answers.
func (s State) resume(now time.Time, _ uint64) (State, []effect.Effect) {
	pause := now.Sub(s.ticked)
	if !s.ticked.IsZero() && pause > pauseTime {
		s.probe = probe{}
		for id, deadline := range s.deadlines.All() {
			s.deadlines = s.deadlines.With(id, deadline.Add(pause))
		}
	}
	s.ticked = now
	return s, nil
}

// IsStale reports whether a message comes from an earlier life of its sender.
func (s State) IsStale(envelope message.Envelope) bool {
	m, ok := s.Member(envelope.From)
	return ok && envelope.Incarnation < m.Incarnation
}

// StaleMessageIgnored takes in that a stale message was ignored. It logs at most one line a minute.
func (s State) StaleMessageIgnored(now time.Time, envelope message.Envelope) (State, []effect.Effect) {
	effects := []effect.Effect{effect.AddToCounter{Name: "messages_stale", Delta: 1}}
	if now.Sub(s.refused) < refusedInterval {
		return s, effects
	}
	s.refused = now
	return s, append(effects, effect.WriteLog{
		Level:     effect.Warn,
		Component: "membership",
		Message:   "message of a stale incarnation ignored",
		Fields: []effect.LogField{
			{Name: "Peer", Value: envelope.From},
			{Name: "Incarnation", Value: envelope.Incarnation},
		},
	})
}

func present(m fleet.Member) effect.Effect {
	return effect.WriteLog{
		Level:     effect.Info,
		Component: "membership",
		Message:   "node is present",
		Fields:    []effect.LogField{{Name: "Peer", Value: m.Node}, {Name: "Incarnation", Value: m.Incarnation}},
	}
}

func died(m fleet.Member) effect.Effect {
	return effect.WriteLog{
		Level:     effect.Warn,
		Component: "membership",
		Message:   "node is dead",
		Fields:    []effect.LogField{{Name: "Peer", Value: m.Node}, {Name: "Incarnation", Value: m.Incarnation}},
	}
}
