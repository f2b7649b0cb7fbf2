// Package tables keeps a node on the newest accepted revision of the routes and pools tables.
//
// # Usage
//
//	state := tables.New()
//	state, effects := state.Tick(now, random)
//	tables := state.Current()
//
// A node learns of a revision in two ways: from a watch on the platform's head, and from the revision in every message of
// another node. Every node watches the platform's own data, since a node that left it to others would go on with an old revision
// when those are lost, frozen or cut off. A node gets the content from a peer that has it, or else from the platform. After a
// change each node waits for a random time before it reads the content, so that a few nodes read it and the others get it from a peer.
// A revision that is not newer than the one in force is never adopted.
package tables

import (
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
)

// State holds the revision in force and the state of the calls and requests for newer ones.
type State struct {
	current fleet.Tables
	// inForceSince is the time at which current came into force.
	inForceSince time.Time
	// content is the encoded form of current, which is sent to peers.
	content []byte
	// parts divides content; nil if it is not divided. askWhole is true if the next request asks for the whole content, because a reply
	// could not be joined or decoded.
	parts          []fleet.TablesPart
	askWhole       bool
	router         routing.Router
	accounts       accounts.Index
	newestRevision fleet.Revision
	// newestSince is the time at which newestRevision was first seen, and lateLogged the newest revision for which a log line says
	// that it is not in force.
	newestSince time.Time
	lateLogged  fleet.Revision
	watch       watch
	fetch       fetch
	holders     fleet.Map[fleet.NodeID, holder]
	peerRequest peerRequest
	// restoreDue is the time at which the revision in force is written to the platform again; zero if the platform has it.
	restoreDue time.Time
	// nextPeerRequest is the earliest time of the next request to a peer.
	nextPeerRequest time.Time
	// platformReachable is true if no watch or fetch has failed since the last successful watch.
	platformReachable bool
}

// New returns the state of a node without tables.
func New() State { return State{} }

// Current returns the tables in force. Their revision is 0 if there are none.
func (s State) Current() fleet.Tables { return s.current }

// Age returns the time for which the tables have been in force.
func (s State) Age(now time.Time) time.Duration {
	if s.inForceSince.IsZero() {
		return 0
	}
	return now.Sub(s.inForceSince)
}

// Router returns the router of the tables in force.
func (s State) Router() routing.Router { return s.router }

// Accounts returns the index of the accounts in force.
func (s State) Accounts() accounts.Index { return s.accounts }

// NewestRevision returns the highest revision seen anywhere.
func (s State) NewestRevision() fleet.Revision { return s.newestRevision }

// Position returns the position of the last answer of the platform.
func (s State) Position() fleet.Position { return s.watch.position }

// IsFromPeer reports whether a revision that is being decoded was sent by a peer.
func (s State) IsFromPeer(r fleet.Revision) bool { return s.peerRequest.decoding == r }

// PlatformReachable reports whether no watch or fetch has failed since the last successful watch. It is false before the first
// one.
func (s State) PlatformReachable() bool { return s.platformReachable }

// Tick starts the calls to the platform and the requests to peers that are due.
func (s State) Tick(now time.Time, random uint64) (State, []effect.Effect) {
	s, watching := s.startWatch(now)
	s, asking := s.requestFromAny(now, random)
	s, fetching := s.startFetch(now)
	s, restoring := s.startRestore(now)
	s, late := s.logLateRevision(now)
	return s, slices.Concat(watching, asking, fetching, restoring, late)
}

// TablesDecoded brings a revision into force if it is newer than the current one. The router and the index are built from t.
func (s State) TablesDecoded(
	now time.Time, t fleet.Tables, router routing.Router, index accounts.Index, content []byte,
) (State, []effect.Effect) {
	source := s.sourceOf(t.Revision)
	s.fetch = s.fetch.finished(t.Revision)
	s.peerRequest = s.peerRequest.afterDecoding(t.Revision)
	if t.Revision <= s.current.Revision {
		return s, nil
	}
	s.current = t
	s.inForceSince = now
	s.content, s.parts, s.askWhole = content, nil, false
	s.router = router
	s.accounts = index
	if t.RequiresKeys() && !index.RequiresKeys() {
		// Without its index, tables with accounts would accept every request.
		s.accounts = accounts.New(t)
	}
	s = s.withNewest(now, t.Revision).withoutOutdatedHolders()
	s, fetching := s.startFetch(now)
	return s, append(append(fetching, s.inForceLog(now, source)), s.unreadReports()...)
}

// TablesRejected handles a revision from a peer or the platform that cannot be decoded or is invalid.
func (s State) TablesRejected(now time.Time, r fleet.Revision, detail string) (State, []effect.Effect) {
	if s.peerRequest.decoding == r {
		s.askWhole = true
		s = s.blockHolder(now, s.peerRequest.contentFrom)
		s.peerRequest = s.peerRequest.afterDecoding(r)
	} else if s.fetch.running == r {
		s.fetch = s.fetch.finished(r).withDue(now.Add(rejectedRetryDelay))
	}
	return s, []effect.Effect{log(effect.Error, "revision rejected",
		effect.LogField{Name: "Revision", Value: r}, effect.LogField{Name: "Error", Value: detail})}
}
