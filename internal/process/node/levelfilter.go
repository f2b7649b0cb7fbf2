package node

import (
	"sync/atomic"

	"github.com/apex/log"
)

// levelFilter passes on the lines from a level on, which may change at any time.
type levelFilter struct {
	handler  log.Handler
	minLevel atomic.Int64
}

// newLevelFilter returns a handler that starts with the given level; one that is not known means info.
func newLevelFilter(handler log.Handler, lowest string) *levelFilter {
	l := &levelFilter{handler: handler}
	l.setLevel(lowest)
	return l
}

func (l *levelFilter) setLevel(lowest string) {
	parsed, err := log.ParseLevel(lowest)
	if err != nil {
		parsed = log.InfoLevel
	}
	l.minLevel.Store(int64(parsed))
}

// HandleLog implements log.Handler.
func (l *levelFilter) HandleLog(e *log.Entry) error {
	if int64(e.Level) < l.minLevel.Load() {
		return nil
	}
	return l.handler.HandleLog(e)
}
