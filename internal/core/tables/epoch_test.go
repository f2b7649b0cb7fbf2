package tables_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
	"jayfold.dev/jayfold/internal/core/tables"
)

// inEpoch returns the properties of a fleet of 24 nodes in an epoch.
func inEpoch(e fleet.Epoch) tables.Fleet { return tables.Fleet{Members: 24, Epoch: e} }

// watchingAt returns the state of a node whose last watch has shown a position and whose next one has started.
func watchingAt(t *testing.T, position fleet.Position) tables.State {
	t.Helper()
	s, _ := watching().HeadRead(start, 0, inEpoch(position.Epoch), fleet.TablesHead{}, position)
	s, effects := s.Tick(start.Add(time.Second), 0)
	assertWatchFrom(t, effects, position, true)
	return s
}

// assertWatchFrom checks that the effects start one watch, from a position.
func assertWatchFrom(t *testing.T, effects []effect.Effect, from fleet.Position, mayBeStale bool) {
	t.Helper()
	is := is.New(t)
	var started []effect.WatchHead
	for _, e := range effects {
		if e, ok := e.(effect.WatchHead); ok {
			started = append(started, e)
		}
	}
	is.Equal(len(started), 1)
	is.Equal(started[0].From, from)
	is.Equal(started[0].MayBeStale, mayBeStale)
}

// TestWatchAfterRestoration guards against a node that misses changes after the platform has come back from a copy, since it watches
// from a version of another epoch or on a copy of one.
func TestWatchAfterRestoration(t *testing.T) {
	later := start.Add(2 * time.Second)
	t.Run("a running watch is replaced by a read of the platform's own data", func(t *testing.T) {
		s := watchingAt(t, fleet.Position{Epoch: 1, Version: 40}).EpochChanged(later, 0, inEpoch(2))
		_, effects := s.Tick(later, 0)
		assertWatchFrom(t, effects, fleet.Position{}, false)
	})
	t.Run("the read is spread over the fleet", func(t *testing.T) {
		s := watchingAt(t, fleet.Position{Epoch: 1, Version: 40}).EpochChanged(later, 1<<31, tables.Fleet{Members: 540, Epoch: 2})
		_, effects := s.Tick(later.Add(400*time.Millisecond), 0)
		is.New(t).Equal(len(effects), 0)
		_, effects = s.Tick(later.Add(600*time.Millisecond), 0)
		assertWatchFrom(t, effects, fleet.Position{}, false)
	})
	t.Run("a late answer gives no position", func(t *testing.T) {
		s := watchingAt(t, fleet.Position{Epoch: 1, Version: 40}).EpochChanged(later, 0, inEpoch(2))
		s, _ = s.HeadRead(later, 0, inEpoch(2), fleet.TablesHead{}, fleet.Position{Epoch: 1, Version: 41})
		_, effects := s.Tick(later.Add(time.Second), 0)
		assertWatchFrom(t, effects, fleet.Position{}, false)
	})
	t.Run("a copy of the earlier epoch is not asked again", func(t *testing.T) {
		s := watchingAt(t, fleet.Position{Epoch: 2, Version: 23})
		s, _ = s.HeadRead(later, 0, inEpoch(2), fleet.TablesHead{}, fleet.Position{Epoch: 1, Version: 41})
		s, effects := s.Tick(later.Add(time.Second), 0)
		assertWatchFrom(t, effects, fleet.Position{Epoch: 2, Version: 23}, false)
		s, _ = s.HeadRead(later, 0, inEpoch(2), fleet.TablesHead{}, fleet.Position{Epoch: 2, Version: 24})
		_, effects = s.Tick(later.Add(2*time.Second), 0)
		assertWatchFrom(t, effects, fleet.Position{Epoch: 2, Version: 24}, true)
	})
	t.Run("an unknown epoch gives a position", func(t *testing.T) {
		s := watchingAt(t, fleet.Position{Epoch: 2, Version: 23})
		s, _ = s.HeadRead(later, 0, inEpoch(2), fleet.TablesHead{}, fleet.Position{Version: 25})
		_, effects := s.Tick(later.Add(time.Second), 0)
		assertWatchFrom(t, effects, fleet.Position{Version: 25}, true)
	})
	t.Run("a lost revision is not read, and isn't shown as the newest one", func(t *testing.T) {
		is := is.New(t)
		s, _ := watching().TablesDecoded(start, fleet.Tables{Revision: 6}, routing.Router{}, nil)
		s, _ = s.HeadRead(start, 1<<63, tables.Fleet{Members: 540, Epoch: 1}, fleet.TablesHead{Revision: 7}, fleet.Position{Epoch: 1, Version: 9})
		is.Equal(s.NewestRevision(), fleet.Revision(7))
		s = s.EpochChanged(start, 0, inEpoch(2))
		is.Equal(s.NewestRevision(), fleet.Revision(6))
		_, effects := s.Tick(start.Add(time.Minute), 0)
		assertWatchFrom(t, effects, fleet.Position{}, false)
		is.Equal(len(effects), 1)
	})
}
