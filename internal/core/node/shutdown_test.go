package node

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// leaving reduces events of a node that is asked to stop, each a second after the one before.
func leaving(bodies ...event.Body) []effect.Effect {
	state := New(fleet.Member{Node: "n"}, DefaultSettings())
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var last []effect.Effect
	for _, body := range append([]event.Body{event.ShutdownRequested{}}, bodies...) {
		state, last = state.Reduce(event.Event{At: now, Body: body})
		now = now.Add(time.Second)
	}
	return last
}

func has(is *is.I, effects []effect.Effect, want effect.Effect, present bool) {
	is.Helper()
	is.Equal(slices.Contains(effects, want), present)
}

// TestShutdown guards against a node that stops while a caller can still send a request, whose attempt is then cut off.
func TestShutdown(t *testing.T) {
	t.Run("the listener stays open during the grace", func(t *testing.T) {
		has(is.New(t), leaving(event.Tick{}), effect.DrainCallers{}, false)
	})
	t.Run("and closes after it", func(t *testing.T) {
		has(is.New(t), leaving(event.Tick{}, event.Tick{}), effect.DrainCallers{}, true)
	})
	t.Run("the node waits for the last caller", func(t *testing.T) {
		has(is.New(t), leaving(event.Tick{}, event.Tick{}, event.Tick{}, event.Tick{}), effect.StopProcess{}, false)
	})
	t.Run("and stops then", func(t *testing.T) {
		stopped := leaving(event.Tick{}, event.Tick{}, event.CallersDrained{}, event.Tick{})
		has(is.New(t), stopped, effect.StopProcess{}, true)
	})
	t.Run("but not past the time at which it is ended by force", func(t *testing.T) {
		var ticks []event.Body
		for range 72 {
			ticks = append(ticks, event.Tick{})
		}
		has(is.New(t), leaving(append(slices.Clone(ticks[:70]), event.Tick{})...), effect.StopProcess{}, false)
		has(is.New(t), leaving(ticks...), effect.StopProcess{}, true) // 95% of 75 s
	})
}

// TestTargetsOfALeavingNode guards against capacity that is lost while a node that is restarted still takes requests, and
// against attempts that start shortly before its end.
func TestTargetsOfALeavingNode(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		runs  bool
	}{"at first": {500 * time.Millisecond, true}, "later": {1100 * time.Millisecond, false}} {
		t.Run(name, func(t *testing.T) {
			r := designFleet()
			target := r.state.admission.Targets()[0]
			r.reduce(event.ShutdownRequested{})
			r.now = r.now.Add(c.after)
			r.reduce(event.Tick{})
			effects := r.reduce(event.AdmissionRequested{Attempt: fleet.Attempt{
				ID: "r1.1", Target: target.ID, Pool: target.Pool, Class: fleet.Lookup, Deadline: r.now.Add(time.Minute),
			}})
			is.New(t).Equal(slices.ContainsFunc(effects, startsRun), c.runs)
		})
	}
}
