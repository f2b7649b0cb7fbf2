package tables_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/accounts"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
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
	assertWatchFrom(t, effects, position)
	return s
}

// assertWatchFrom checks that the effects start one watch, from a position.
func assertWatchFrom(t *testing.T, effects []effect.Effect, from fleet.Position) {
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
}

// TestWatchAfterRestoration guards against a node that misses changes after the platform has been restored from a copy, since it watches
// from a version of another epoch.
func TestWatchAfterRestoration(t *testing.T) {
	later := start.Add(2 * time.Second)
	t.Run("a running watch is replaced by a read", func(t *testing.T) {
		s := watchingAt(t, fleet.Position{Epoch: 1, Version: 40}).EpochChanged(later, 0, inEpoch(2))
		_, effects := s.Tick(later, 0)
		assertWatchFrom(t, effects, fleet.Position{})
	})
	t.Run("the read is spread over the fleet", func(t *testing.T) {
		s := watchingAt(t, fleet.Position{Epoch: 1, Version: 40}).EpochChanged(later, 1<<31, tables.Fleet{Members: 540, Epoch: 2})
		_, effects := s.Tick(later.Add(400*time.Millisecond), 0)
		is.New(t).Equal(len(effects), 0)
		_, effects = s.Tick(later.Add(600*time.Millisecond), 0)
		assertWatchFrom(t, effects, fleet.Position{})
	})
	t.Run("a watch after a failure ends soon, and shows the epoch", func(t *testing.T) {
		is := is.New(t)
		s, _ := watchingAt(t, fleet.Position{Epoch: 1, Version: 40}).PlatformCallFailed(later, 0, inEpoch(1), event.CallWatchHead, "reset")
		_, effects := s.Tick(later.Add(time.Second), 0)
		watch, ok := effects[0].(effect.WatchHead)
		is.True(ok)
		is.Equal(watch.From, fleet.Position{Epoch: 1, Version: 40})
		is.True(watch.Wait <= 100*time.Millisecond)
		s, _ = s.Tick(later.Add(time.Second), 0)
		s, _ = s.HeadRead(later.Add(time.Second), 0, inEpoch(1), fleet.TablesHead{}, fleet.Position{Epoch: 1, Version: 41})
		_, effects = s.Tick(later.Add(2*time.Second), 0)
		watch, ok = effects[0].(effect.WatchHead)
		is.True(ok)
		is.True(watch.Wait >= 3*time.Second)
	})
	t.Run("a late answer gives no position", func(t *testing.T) {
		s := watchingAt(t, fleet.Position{Epoch: 1, Version: 40}).EpochChanged(later, 0, inEpoch(2))
		s, _ = s.HeadRead(later, 0, inEpoch(2), fleet.TablesHead{}, fleet.Position{Epoch: 1, Version: 41})
		_, effects := s.Tick(later.Add(time.Second), 0)
		assertWatchFrom(t, effects, fleet.Position{})
	})
	t.Run("an answer of an earlier epoch leaves the position as it is", func(t *testing.T) {
		s := watchingAt(t, fleet.Position{Epoch: 2, Version: 23})
		s, _ = s.HeadRead(later, 0, inEpoch(2), fleet.TablesHead{}, fleet.Position{Epoch: 1, Version: 41})
		s, effects := s.Tick(later.Add(time.Second), 0)
		assertWatchFrom(t, effects, fleet.Position{Epoch: 2, Version: 23})
		s, _ = s.HeadRead(later, 0, inEpoch(2), fleet.TablesHead{}, fleet.Position{Epoch: 2, Version: 24})
		_, effects = s.Tick(later.Add(2*time.Second), 0)
		assertWatchFrom(t, effects, fleet.Position{Epoch: 2, Version: 24})
	})
	t.Run("an unknown epoch gives a position", func(t *testing.T) {
		s := watchingAt(t, fleet.Position{Epoch: 2, Version: 23})
		s, _ = s.HeadRead(later, 0, inEpoch(2), fleet.TablesHead{}, fleet.Position{Version: 25})
		_, effects := s.Tick(later.Add(time.Second), 0)
		assertWatchFrom(t, effects, fleet.Position{Version: 25})
	})
	t.Run("a lost revision is not read, and isn't shown as the newest one", func(t *testing.T) {
		is := is.New(t)
		s, _ := watching().TablesDecoded(start, fleet.Tables{Revision: 6}, routing.Router{}, accounts.Index{}, nil)
		s, _ = s.HeadRead(start, 1<<63, tables.Fleet{Members: 540, Epoch: 1}, fleet.TablesHead{Revision: 7}, fleet.Position{Epoch: 1, Version: 9})
		is.Equal(s.NewestRevision(), fleet.Revision(7))
		s = s.EpochChanged(start, 0, inEpoch(2))
		is.Equal(s.NewestRevision(), fleet.Revision(6))
		_, effects := s.Tick(start.Add(time.Minute), 0)
		assertWatchFrom(t, effects, fleet.Position{})
		is.Equal(len(effects), 1)
	})
}

// restorations returns the effects that write a revision to the platform again.
func restorations(effects []effect.Effect) []effect.RestoreTables {
	var found []effect.RestoreTables
	for _, e := range effects {
		if e, ok := e.(effect.RestoreTables); ok {
			found = append(found, e)
		}
	}
	return found
}

// TestLostRevisionIsWrittenAgain guards against a revision that was accepted, is in force on some nodes, and stays lost for nodes that
// start later.
func TestLostRevisionIsWrittenAgain(t *testing.T) {
	later := start.Add(10 * time.Second)
	inForce := func(revision fleet.Revision) tables.State {
		s, _ := watching().TablesDecoded(start, fleet.Tables{Revision: revision}, routing.Router{}, accounts.Index{}, []byte("content"))
		return s.EpochChanged(start, 0, inEpoch(2))
	}
	read := func(s tables.State, head fleet.TablesHead) tables.State {
		s, _ = s.HeadRead(start, 0, inEpoch(2), head, fleet.Position{Epoch: 2, Version: 23})
		return s
	}
	for name, c := range map[string]struct {
		head fleet.TablesHead
		want int
	}{
		"the platform has an older revision":       {head: fleet.TablesHead{Revision: 6}, want: 1},
		"the platform has the revision":            {head: fleet.TablesHead{Revision: 7}},
		"the platform has a newer one":             {head: fleet.TablesHead{Revision: 1008}},
		"another program writes the tables":        {head: fleet.TablesHead{Revision: 6, Content: []byte("x")}},
		"the platform shows nothing of the tables": {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, effects := read(inForce(7), c.head).Tick(later, 0)
			is.Equal(len(restorations(effects)), c.want)
			_, effects = s.Tick(later, 0)
			is.Equal(len(restorations(effects)), 0)
		})
	}
	t.Run("another node was first", func(t *testing.T) {
		s := read(inForce(7), fleet.TablesHead{Revision: 6})
		_, effects := read(s, fleet.TablesHead{Revision: 7}).Tick(later, 0)
		is.New(t).Equal(len(restorations(effects)), 0)
	})
	t.Run("a failed write is repeated", func(t *testing.T) {
		s, _ := read(inForce(7), fleet.TablesHead{Revision: 6}).Tick(later, 0)
		s, _ = s.PlatformCallFailed(later, 0, inEpoch(1), event.CallRestoreTables, "timeout")
		_, effects := s.Tick(later.Add(2*time.Second), 0)
		is.New(t).Equal(restorations(effects), []effect.RestoreTables{{Revision: 7, Content: []byte("content")}})
	})
}
