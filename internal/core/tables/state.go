// Package tables brings the newest accepted revision of the routes and pools tables into force on a node.
//
// # Usage
//
//	state := tables.New()
//	state, effects := state.Tick(now, random)
//	tables := state.Current()
//
// A node learns of a revision in two ways: a watch on the platform's head, and the revision that every message of another
// node shows. A few nodes of each zone watch the head itself and tell others of a change at once; the rest watch a copy that
// may lag. A node fetches the revision from a peer that has it, or else from the platform. After a change each node waits
// for a random time before it reads the platform, so that a few nodes read it and the others find a peer first. A
// revision that is not newer than the one in force is never taken.
package tables

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
)

// State is the revision in force and the search for newer ones.
type State struct {
	current fleet.Tables
	// since is when current came into force.
	since time.Time
	// content is the encoded form of current, for peers.
	content []byte
	router  routing.Router
	newest  fleet.Revision
	watch   watch
	fetch   fetch
	holders fleet.Map[fleet.NodeID, holder]
	ask     ask
	// pause is when the next peer may be asked.
	pause time.Time
	// platform says whether the last watch or fetch succeeded.
	platform bool
}

// New returns the state of a node that has no revision.
func New() State { return State{} }

// Current returns the tables in force; revision 0 means none.
func (s State) Current() fleet.Tables { return s.current }

// Age returns for how long the tables have been in force.
func (s State) Age(now time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}

// Router returns the router over the tables in force.
func (s State) Router() routing.Router { return s.router }

// NewestRevision returns the highest revision seen anywhere.
func (s State) NewestRevision() fleet.Revision { return s.newest }

// ShouldNotifyPeers reports whether this node is to tell others of a revision that it is about to take: it has it from the platform's own
// data or from a peer, so that others may be behind. A copy that shows it to one node shows it to all.
func (s State) ShouldNotifyPeers(r fleet.Revision) bool {
	return r > s.current.Revision && (!s.watch.stale || s.ask.decoding == r)
}

// PlatformReachable reports whether the last call on the platform succeeded.
func (s State) PlatformReachable() bool { return s.platform }

// Tick starts the calls and requests that are due.
func (s State) Tick(now time.Time, random uint64) (State, []effect.Effect) {
	s, watching := s.startWatch(now)
	s, asking := s.askAny(now, random)
	s, fetching := s.startFetch(now)
	return s, append(append(watching, asking...), fetching...)
}

// TablesDecoded brings a revision into force when it is newer than the current one. The router is over its routes.
func (s State) TablesDecoded(now time.Time, t fleet.Tables, router routing.Router, content []byte) (State, []effect.Effect) {
	s.fetch = s.fetch.ended(t.Revision)
	s.ask = s.ask.decoded(t.Revision)
	if t.Revision <= s.current.Revision {
		return s, nil
	}
	s.current = t
	s.since = now
	s.content = content
	s.router = router
	s.newest = max(s.newest, t.Revision)
	s = s.withoutOlder()
	s, fetching := s.startFetch(now)
	return s, append(fetching, log(effect.Info, "revision in force", effect.LogField{Name: "Revision", Value: t.Revision}))
}

// TablesRejected takes in that the content of a revision, from a peer or from the platform, does not decode.
func (s State) TablesRejected(now time.Time, r fleet.Revision, detail string) (State, []effect.Effect) {
	if s.ask.decoding == r {
		s = s.barHolder(now, s.ask.from)
		s.ask = s.ask.decoded(r)
	} else if s.fetch.running == r {
		s.fetch = s.fetch.ended(r).postponed(now.Add(rejectedDelay))
	}
	return s, []effect.Effect{log(effect.Error, "revision rejected",
		effect.LogField{Name: "Revision", Value: r}, effect.LogField{Name: "Error", Value: detail})}
}

func log(level effect.Level, text string, fields ...effect.LogField) effect.Effect {
	return effect.WriteLog{Level: level, Component: "tables", Message: text, Fields: fields}
}
