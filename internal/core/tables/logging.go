package tables

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// lateAfter is the time after which a known revision that is not in force is logged. A node normally has the content within
// milliseconds; a request to a peer times out after a second.
const lateAfter = time.Second

// source is where a node got the content of a revision.
type source string

// The sources.
const (
	sourcePeer     source = "Peer"
	sourcePlatform source = "Platform"
)

// sourceOf returns the source of a revision that has just been decoded.
func (s State) sourceOf(r fleet.Revision) source {
	if s.peerRequest.decoding == r {
		return sourcePeer
	}
	return sourcePlatform
}

// withNewest records that a revision exists.
func (s State) withNewest(now time.Time, r fleet.Revision) State {
	if r > s.newestRevision {
		s.newestRevision, s.newestSince = r, now
	}
	return s
}

// inForceLog returns the log line for a revision that has just come into force. SeenFor is the time since the newest revision was
// first seen, so that a change that reached the node late differs from one that it could not read or decode.
func (s State) inForceLog(now time.Time, from source) effect.Effect {
	return log(effect.Info, "revision in force",
		effect.LogField{Name: "Revision", Value: s.current.Revision},
		effect.LogField{Name: "Source", Value: string(from)},
		effect.LogField{Name: "SeenFor", Value: now.Sub(s.newestSince).Round(time.Millisecond)})
}

// unreadReports returns a log line and a count if this node cannot read a part of the revision that has just come into force.
func (s State) unreadReports() []effect.Effect {
	unread := s.current.Unread
	if len(unread) == 0 {
		return nil
	}
	return []effect.Effect{
		log(effect.Warn, "a part of the revision cannot be read",
			effect.LogField{Name: "Revision", Value: s.current.Revision},
			effect.LogField{Name: "Count", Value: len(unread)},
			effect.LogField{Name: "First", Value: unread[0]}),
		effect.AddToCounter{Name: "tables_unread", Delta: int64(len(unread))},
	}
}

// logLateRevision returns one log line for each newest revision that is known for lateAfter and not in force.
func (s State) logLateRevision(now time.Time) (State, []effect.Effect) {
	if s.newestRevision <= max(s.current.Revision, s.lateLogged) || now.Sub(s.newestSince) < lateAfter {
		return s, nil
	}
	s.lateLogged = s.newestRevision
	return s, []effect.Effect{log(effect.Warn, "newer revision is not in force",
		effect.LogField{Name: "Newest", Value: s.newestRevision},
		effect.LogField{Name: "InForce", Value: s.current.Revision},
		effect.LogField{Name: "Fetching", Value: s.fetch.running},
		effect.LogField{Name: "Asked", Value: string(s.peerRequest.peer)},
		effect.LogField{Name: "Decoding", Value: s.peerRequest.decoding})}
}

func log(level effect.Level, message string, fields ...effect.LogField) effect.Effect {
	return effect.WriteLog{Level: level, Component: "tables", Message: message, Fields: fields}
}
