package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/routing"
)

// TestSettings guards against reloaded settings that have no effect, and against rejected settings that have one.
func TestSettings(t *testing.T) {
	start := New(fleet.Member{Node: "n"}, DefaultSettings())
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	changed := DefaultSettings()
	changed.StopGrace = 6 * time.Second

	t.Run("valid settings take effect", func(t *testing.T) {
		is := is.New(t)
		next, effects := start.Reduce(event.Event{At: now, Body: event.SettingsReloaded{Settings: changed}})
		is.Equal(next.shutdown.grace, 6*time.Second)
		is.Equal(effects[0], effect.SetSettings{Settings: changed})
	})
	t.Run("a shutdown in progress keeps its grace", func(t *testing.T) {
		leaving, _ := start.Reduce(event.Event{At: now, Body: event.ShutdownRequested{}})
		next, _ := leaving.Reduce(event.Event{At: now, Body: event.SettingsReloaded{Settings: changed}})
		is.New(t).Equal(next.shutdown.grace, DefaultSettings().StopGrace)
	})
	t.Run("rejected settings change nothing and are logged", func(t *testing.T) {
		is := is.New(t)
		next, effects := start.Reduce(event.Event{At: now, Body: event.SettingsRejected{Detail: "bad"}})
		is.Equal(next.shutdown.grace, start.shutdown.grace)
		is.Equal(len(effects), 1)
		is.Equal(effects[0].(effect.WriteLog).Level, effect.Error)
	})
}

// TestReadiness guards against callers that are directed to a node that has no tables yet or is about to stop.
func TestReadiness(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	start := New(fleet.Member{Node: "n"}, DefaultSettings())
	decoded := func(r fleet.Revision) event.Event {
		return event.Event{At: now, Body: event.TablesDecoded{Tables: fleet.Tables{Revision: r}, Router: routing.Router{}}}
	}

	t.Run("ready with the first tables only", func(t *testing.T) {
		state, effects := start.Reduce(decoded(1))
		assertContains(is.New(t), effects, effect.SetReadiness{Ready: true}, true)
		_, effects = state.Reduce(decoded(2))
		assertContains(is.New(t), effects, effect.SetReadiness{Ready: true}, false)
	})
	t.Run("not ready after a shutdown request", func(t *testing.T) {
		state, effects := start.Reduce(event.Event{At: now, Body: event.ShutdownRequested{}})
		assertContains(is.New(t), effects, effect.SetReadiness{Leaving: true}, true)
		_, effects = state.Reduce(decoded(1))
		assertContains(is.New(t), effects, effect.SetReadiness{Ready: true}, false)
	})
}
