package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/event"
)

const watchedSettings = `{"Node": "n", "AvailabilityZone": "z", "Host": "10.0.0.1", "Platform": "http://10.0.0.9:1",
	"Listen": {"Callers": "10.0.0.1:1", "Targets": "10.0.0.1:2", "Peers": "10.0.0.1:3", "Forward": "10.0.0.1:4",
	"Operators": "10.0.0.1:5"}, "StopGrace": "6s"}`

// assertCheck checks which event a check of the file posts if the file has this content. Empty content stands for a missing file.
func assertCheck(t *testing.T, w *Watcher, cause, content string, want event.Body) {
	t.Helper()
	w.seams.Read = func(string) ([]byte, error) {
		if content == "" {
			return nil, errors.New("no such file")
		}
		return []byte(content), nil
	}
	var posted event.Body
	w.seams.Post = func(body event.Body) { posted = body }
	w.check(cause)
	if rejected, ok := posted.(event.SettingsRejected); ok && rejected.Detail != "" {
		rejected.Detail = ""
		posted = rejected
	}
	is.New(t).Equal(posted, want)
}

// TestWatcher guards against a changed settings file that has no effect, is reported repeatedly, or terminates the node.
func TestWatcher(t *testing.T) {
	start := func(t *testing.T) *Watcher {
		t.Helper()
		s, err := Parse("s", []byte(watchedSettings))
		is.New(t).NoErr(err)
		s.Path, s.content = "s", []byte(watchedSettings)
		return NewWatcher(s, WatcherSeams{})
	}
	reloaded := func(t *testing.T, cause, content string, changed, nextStart []string) event.Body {
		t.Helper()
		s, err := Parse("s", []byte(content))
		is.New(t).NoErr(err)
		return event.SettingsReloaded{Cause: cause, Settings: s.Reloadable(), Changed: changed, NextStart: nextStart}
	}
	shorterGrace := strings.Replace(watchedSettings, "6s", "5s", 1)
	otherZone := strings.Replace(shorterGrace, `"z"`, `"y"`, 1)

	t.Run("an unchanged file is reported only after a signal", func(t *testing.T) {
		w := start(t)
		assertCheck(t, w, causeFile, watchedSettings, nil)
		assertCheck(t, w, causeSignal, watchedSettings, reloaded(t, causeSignal, watchedSettings, nil, nil))
	})
	t.Run("a change without a signal is reported once", func(t *testing.T) {
		w := start(t)
		assertCheck(t, w, causeFile, shorterGrace, reloaded(t, causeFile, shorterGrace, []string{"StopGrace"}, nil))
		assertCheck(t, w, causeFile, shorterGrace, nil)
	})
	t.Run("fields that take effect at the next start are named", func(t *testing.T) {
		w := start(t)
		assertCheck(t, w, causeSignal, otherZone,
			reloaded(t, causeSignal, otherZone, []string{"StopGrace"}, []string{"AvailabilityZone"}))
	})
	t.Run("an invalid file is rejected once and the next valid one is loaded", func(t *testing.T) {
		w := start(t)
		assertCheck(t, w, causeFile, "{", event.SettingsRejected{Cause: causeFile})
		assertCheck(t, w, causeFile, "{", nil)
		assertCheck(t, w, causeFile, shorterGrace, reloaded(t, causeFile, shorterGrace, []string{"StopGrace"}, nil))
	})
	t.Run("a file that is missing for a moment is read again", func(t *testing.T) {
		w := start(t)
		assertCheck(t, w, causeFile, "", nil)
		assertCheck(t, w, causeSignal, "", event.SettingsRejected{Cause: causeSignal})
		assertCheck(t, w, causeFile, shorterGrace, reloaded(t, causeFile, shorterGrace, []string{"StopGrace"}, nil))
	})
}
