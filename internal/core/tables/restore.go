package tables

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// withOlderHead handles a head that is older than the revision in force. The platform has one after it has been restored
// from a copy. The revision in force was accepted, and is written again so that nodes that start later have it too. The delay lets
// few nodes of a fleet do this; the others see the result in time. Tables in the format of another program are written by that program.
func (s State) withOlderHead(now time.Time, random uint64, f Fleet, head fleet.TablesHead) State {
	if len(head.Content) == 0 {
		s.restoreDue = now.Add(spreadDelay(random, f.Members))
	}
	return s
}

// startRestore writes the revision in force to the platform again if that is due.
func (s State) startRestore(now time.Time) (State, []effect.Effect) {
	if s.restoreDue.IsZero() || now.Before(s.restoreDue) {
		return s, nil
	}
	s.restoreDue = time.Time{}
	return s, []effect.Effect{effect.RestoreTables{Revision: s.current.Revision, Content: s.content}}
}
