package tables_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/core/tables"
)

// assertLine checks that the effects contain one log line with the message and that its fields have the given values.
func assertLine(t *testing.T, effects []effect.Effect, message string, want map[string]any) {
	t.Helper()
	is := is.New(t)
	lines := 0
	for _, e := range effects {
		line, ok := e.(effect.WriteLog)
		if !ok || line.Message != message {
			continue
		}
		lines++
		for _, field := range line.Fields {
			if value, ok := want[field.Name]; ok {
				is.Equal(field.Value, value)
			}
		}
	}
	is.Equal(lines, 1)
}

// TestRevisionIsLogged guards against logs that cannot tell a change that reached the node late from one that the node knew of
// and could not read.
func TestRevisionIsLogged(t *testing.T) {
	decoded := func(s tables.State, after time.Duration, r fleet.Revision) []effect.Effect {
		_, effects := s.TablesDecoded(start.Add(after), fleet.Tables{Revision: r}, routing.Router{}, accounts.Index{}, nil)
		return effects
	}
	read := func() tables.State {
		s, _ := watching().HeadRead(start, 0, tables.Fleet{Members: 24}, fleet.TablesHead{}, fleet.Position{Version: 8})
		s, _ = s.Tick(start.Add(time.Second), 0)
		s, _ = s.HeadRead(start.Add(time.Second), 0, tables.Fleet{Members: 24}, fleet.TablesHead{Revision: 7, Content: []byte{1}}, fleet.Position{Version: 9})
		return s
	}
	t.Run("from the platform", func(t *testing.T) {
		assertLine(t, decoded(read(), time.Second, 7), "revision in force",
			map[string]any{"Revision": fleet.Revision(7), "Source": "Platform", "SeenFor": time.Duration(0)})
	})
	t.Run("from the platform, read late", func(t *testing.T) {
		assertLine(t, decoded(read(), 3*time.Second, 7), "revision in force",
			map[string]any{"Source": "Platform", "SeenFor": 2 * time.Second})
	})
	t.Run("from a peer", func(t *testing.T) {
		s, _ := tables.New().PeerRevisionSeen(start, "a", "address", 7)
		s, _ = s.MessageReceived(start, content("a", 7))
		assertLine(t, decoded(s, 300*time.Millisecond, 7), "revision in force",
			map[string]any{"Source": "Peer", "SeenFor": 300 * time.Millisecond})
	})
	t.Run("known but not in force, once", func(t *testing.T) {
		s, _ := tables.New().PeerRevisionSeen(start, "a", "address", 7)
		s, effects := s.Tick(start.Add(time.Second), 0)
		assertLine(t, effects, "newer revision is not in force",
			map[string]any{"Newest": fleet.Revision(7), "InForce": fleet.Revision(0)})
		_, effects = s.Tick(start.Add(2*time.Second), 0)
		for _, e := range effects {
			_, logged := e.(effect.WriteLog)
			is.New(t).True(!logged)
		}
	})
}

// TestUnreadPartsAreReported guards against a revision of which a node understands only a part, without a line that says so.
func TestUnreadPartsAreReported(t *testing.T) {
	is := is.New(t)
	revision := fleet.Tables{Revision: 7}.WithUnread(`route "a" has the unknown type "stream"`).WithUnread("Limits: want an object")
	state, effects := tables.New().TablesDecoded(start, revision, routing.Router{}, accounts.Index{}, nil)
	assertLine(t, effects, "a part of the revision cannot be read",
		map[string]any{"Revision": fleet.Revision(7), "Count": 2, "First": `route "a" has the unknown type "stream"`})
	is.True(slices.ContainsFunc(effects, func(e effect.Effect) bool {
		counter, ok := e.(effect.AddToCounter)
		return ok && counter.Name == "tables_unread" && counter.Delta == 2
	}))
	_, effects = state.TablesDecoded(start, revision, routing.Router{}, accounts.Index{}, nil)
	is.Equal(len(effects), 0) // once for each revision
}
