package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"jayfold.dev/jayfold/internal/core/event"
)

// watchInterval is the time between two looks at a settings file that may change without a signal. Reading a file of some
// hundred bytes takes a few microseconds, and nobody waits for a change of settings.
const watchInterval = 2 * time.Second

// The causes of a reading.
const (
	causeSignal = "SIGHUP"
	causeFile   = "the file has changed"
)

// WatcherSeams are what a Watcher needs from outside.
type WatcherSeams struct {
	Post func(event.Body)
	// Read returns the content of a file; nil means os.ReadFile.
	Read func(path string) ([]byte, error)
}

// Watcher reads the settings file again on SIGHUP and when it has changed.
type Watcher struct {
	seams WatcherSeams
	// path is empty for settings that came from no file.
	path    string
	current Settings
	content []byte
}

// NewWatcher returns a watch of the file from which the settings came.
func NewWatcher(s Settings, seams WatcherSeams) *Watcher {
	if seams.Read == nil {
		seams.Read = os.ReadFile
	}
	return &Watcher{seams: seams, path: s.Path, current: s, content: s.content}
}

// Run looks at the file until ctx ends. Settings that came from no file are not watched.
func (w *Watcher) Run(ctx context.Context) {
	if w.path == "" {
		return
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			w.check(causeSignal)
		case <-ticker.C:
			w.check(causeFile)
		}
	}
}

// check reads the file and posts what came of it. A file that has not changed is told only after a signal, and one that
// cannot be read or used once per content.
func (w *Watcher) check(cause string) {
	content, err := w.seams.Read(w.path)
	if err != nil {
		// A file is missing for a moment while it is replaced; the next look finds it.
		if cause == causeSignal {
			w.seams.Post(event.SettingsRejected{Cause: cause, Detail: err.Error()})
		}
		return
	}
	if bytes.Equal(content, w.content) && cause != causeSignal {
		return
	}
	w.content = content
	next, err := Parse(w.path, content)
	if err != nil {
		w.seams.Post(event.SettingsRejected{Cause: cause, Detail: err.Error()})
		return
	}
	live, nextStart := diff(w.current, next)
	w.current = next
	w.seams.Post(event.SettingsReloaded{Cause: cause, Settings: next.Reloadable(), Changed: live, NextStart: nextStart})
}
