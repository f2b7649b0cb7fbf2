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

// watchInterval is the interval at which the settings file is checked for changes made without a signal. Reading a file of
// some hundred bytes takes a few microseconds, and settings changes are not urgent.
const watchInterval = 2 * time.Second

// The causes of a reload.
const (
	causeSignal = "SIGHUP"
	causeFile   = "the file has changed"
)

// WatcherSeams are the external dependencies of a Watcher.
type WatcherSeams struct {
	Post func(event.Body)
	// Read returns the content of a file; os.ReadFile if nil.
	Read func(path string) ([]byte, error)
}

// Watcher reloads the settings file on SIGHUP and when its content has changed.
type Watcher struct {
	seams WatcherSeams
	// path is empty if the settings were not read from a file.
	path    string
	current Settings
	content []byte
}

// NewWatcher returns a watcher for the file from which the settings were read.
func NewWatcher(s Settings, seams WatcherSeams) *Watcher {
	if seams.Read == nil {
		seams.Read = os.ReadFile
	}
	return &Watcher{seams: seams, path: s.Path, current: s, content: s.content}
}

// Run checks the file until ctx is done. It returns at once if the settings were not read from a file.
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

// check reads the file and posts the result. Content that has not changed since the last check, valid or not, is reported only
// after a signal.
func (w *Watcher) check(cause string) {
	content, err := w.seams.Read(w.path)
	if err != nil {
		// The file can be missing for a moment while it is replaced; the next check reads it.
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
	changed, nextStart := diff(w.current, next)
	w.current = next
	w.seams.Post(event.SettingsReloaded{Cause: cause, Settings: next.Reloadable(), Changed: changed, NextStart: nextStart})
}
