package node

import (
	"sync/atomic"

	"github.com/apex/log"
)

// levelFilter drops the log lines below a minimum level, which may change at any time.
type levelFilter struct {
	handler  log.Handler
	minLevel atomic.Int64
}

// newLevelFilter returns a handler with the given minimum level. An unknown level is taken as info.
func newLevelFilter(handler log.Handler, level string) *levelFilter {
	l := &levelFilter{handler: handler}
	l.setLevel(level)
	return l
}

func (l *levelFilter) setLevel(level string) {
	parsed, err := log.ParseLevel(level)
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
