package node

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// firstTablesWait is the longest time for which a starting node holds the first revision from the platform back. The node reads the list of
// members within half a second of its start, and a peer answers within milliseconds.
const firstTablesWait = 700 * time.Millisecond

// firstTables is the first revision that a starting node has read from a platform that has been restored from a copy at some time. It may be
// older than the one that was in force here before, which peers know.
type firstTables struct {
	held fleet.Option[event.TablesDecoded]
	// until is the time at which the revision comes into force if no peer has been heard.
	until time.Time
	// asked is true once a peer has been heard, or the platform has listed no node to ask.
	asked bool
}

// withHeld returns the state with a revision that is held back. A newer one doesn't extend the wait.
func (f firstTables) withHeld(now time.Time, body event.TablesDecoded) firstTables {
	if f.until.IsZero() {
		f.until = now.Add(firstTablesWait)
	}
	f.held = fleet.Some(body)
	return f
}

// holdsFirstTables reports whether a revision from the platform must wait until a peer has been heard.
func (s State) holdsFirstTables(revision fleet.Revision) bool {
	return s.Revision() == 0 && s.epoch.Current() > fleet.FirstEpoch && !s.firstTables.asked && !s.tables.IsFromPeer(revision)
}

// releaseFirstTables brings the revision into force that was held back, once a peer has been heard that has no newer one, or after
// firstTablesWait.
func (s State) releaseFirstTables(ev event.Event) (State, []effect.Effect) {
	body, ok := s.firstTables.held.Get()
	if !ok {
		return s, nil
	}
	newerKnown := s.tables.NewestRevision() > body.Tables.Revision
	if ev.At.Before(s.firstTables.until) && (!s.firstTables.asked || newerKnown) {
		return s, nil
	}
	s.firstTables = firstTables{asked: true}
	return s.tablesDecoded(ev, body)
}
