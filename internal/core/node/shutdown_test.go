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

// shutdownEffects passes a shutdown request and then the given events, one per second, to a new node. It returns the
// effects of the last event.
func shutdownEffects(bodies ...event.Body) []effect.Effect {
	state := New(fleet.Member{Node: "n"}, DefaultSettings())
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var last []effect.Effect
	for _, body := range append([]event.Body{event.ShutdownRequested{}}, bodies...) {
		state, last = state.Reduce(event.Event{At: now, Body: body})
		now = now.Add(time.Second)
	}
	return last
}

// assertContains checks that the effects contain want if present is true, and that they do not if it is false.
func assertContains(is *is.I, effects []effect.Effect, want effect.Effect, present bool) {
	is.Helper()
	is.Equal(slices.Contains(effects, want), present)
}

// TestShutdown guards against a node that stops while callers can still send requests, whose attempts would be cut off, and
// against one that waits for its callers beyond its stop grace, after which it is killed.
func TestShutdown(t *testing.T) {
	t.Run("the listener stays open during the leave time", func(t *testing.T) {
		assertContains(is.New(t), shutdownEffects(event.Tick{}), effect.DrainCallers{}, false)
	})
	t.Run("the listener closes after the leave time", func(t *testing.T) {
		assertContains(is.New(t), shutdownEffects(event.Tick{}, event.Tick{}), effect.DrainCallers{}, true)
	})
	t.Run("the node waits for the last caller", func(t *testing.T) {
		assertContains(is.New(t), shutdownEffects(event.Tick{}, event.Tick{}, event.Tick{}, event.Tick{}), effect.StopProcess{}, false)
	})
	t.Run("the node stops after the last caller", func(t *testing.T) {
		stopped := shutdownEffects(event.Tick{}, event.Tick{}, event.CallersDrained{}, event.Tick{})
		assertContains(is.New(t), stopped, effect.StopProcess{}, true)
	})
	t.Run("the node stops before the end of the stop grace", func(t *testing.T) {
		var ticks []event.Body
		for range 72 {
			ticks = append(ticks, event.Tick{})
		}
		assertContains(is.New(t), shutdownEffects(append(slices.Clone(ticks[:70]), event.Tick{})...), effect.StopProcess{}, false)
		assertContains(is.New(t), shutdownEffects(ticks...), effect.StopProcess{}, true) // 95% of 75 s
	})
}

// TestTargetsOfALeavingNode guards against lost capacity while a leaving node still accepts requests, and against attempts that
// start shortly before it stops.
func TestTargetsOfALeavingNode(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		runs  bool
	}{
		"in the first half of the leave time":  {500 * time.Millisecond, true},
		"in the second half of the leave time": {1100 * time.Millisecond, false},
	} {
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
