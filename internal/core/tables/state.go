// Package tables brings the newest accepted revision of the routes and pools tables into force on a node.
//
// # Usage
//
//	state := tables.New()
//	state, effects := state.Tick(now, random)
//	tables := state.Current()
package tables

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/routing"
)

// State is the revision in force and the search for newer ones.
type State struct {
	current  fleet.Tables
	content  []byte
	router   routing.Router
	newest   fleet.Revision
	version  uint64
	watching bool
	// platform says whether the last call on the platform succeeded.
	platform bool
}

// New returns the state of a node that has no revision.
func New() State { return State{} }

// Current returns the tables in force; revision 0 means none.
func (s State) Current() fleet.Tables { return s.current }

// Router returns the router over the tables in force.
func (s State) Router() routing.Router { return s.router }

// Newest returns the highest revision seen anywhere.
func (s State) Newest() fleet.Revision { return s.newest }

// PlatformReachable reports whether the last call on the platform succeeded.
func (s State) PlatformReachable() bool { return s.platform }

// Tick starts the watch on the platform's head when none is waiting.
func (s State) Tick(time.Time, uint64) (State, []effect.Effect) {
	if s.watching {
		return s, nil
	}
	s.watching = true
	return s, []effect.Effect{effect.WatchHead{Version: s.version}}
}

// HeadRead takes in what the platform's head says.
func (s State) HeadRead(_ time.Time, _ uint64, head fleet.Head, version uint64) (State, []effect.Effect) {
	s.watching = false
	s.platform = true
	s.version = version
	s.newest = max(s.newest, head.Revision)
	if head.Revision <= s.current.Revision {
		return s, nil
	}
	return s, []effect.Effect{effect.FetchTables{Head: head}}
}

// Decoded brings a revision into force when it is newer than the current one.
func (s State) Decoded(_ time.Time, t fleet.Tables, content []byte) (State, []effect.Effect) {
	if t.Revision <= s.current.Revision {
		return s, nil
	}
	s.current = t
	s.content = content
	s.router = routing.New(t)
	s.newest = max(s.newest, t.Revision)
	return s, []effect.Effect{effect.Log{
		Part:   "tables",
		Text:   "revision in force",
		Fields: []effect.Field{{Name: "Revision", Value: t.Revision}},
	}}
}

// Rejected takes in that a revision does not decode.
func (s State) Rejected(_ time.Time, r fleet.Revision, detail string) (State, []effect.Effect) {
	return s, []effect.Effect{effect.Log{
		Level:  effect.Failure,
		Part:   "tables",
		Text:   "revision rejected",
		Fields: []effect.Field{{Name: "Revision", Value: r}, {Name: "Detail", Value: detail}},
	}}
}

// PlatformFailed takes in that a call for the tables failed.
func (s State) PlatformFailed(time.Time, uint64) (State, []effect.Effect) {
	s.watching = false
	s.platform = false
	return s, nil
}

// Seen takes in the revision that another node showed.
func (s State) Seen(_ time.Time, _ fleet.NodeID, _ string, r fleet.Revision) (State, []effect.Effect) {
	s.newest = max(s.newest, r)
	return s, nil
}

// Received handles a message about tables.
func (s State) Received(time.Time, message.Envelope) (State, []effect.Effect) { return s, nil }
