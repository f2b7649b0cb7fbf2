package node

import (
	"sync/atomic"

	"github.com/apex/log"
)

// leveled passes on the lines from a level on, which may change at any time.
type leveled struct {
	handler log.Handler
	lowest  atomic.Int64
}

// newLeveled returns a handler that starts with the given level; one that is not known means info.
func newLeveled(handler log.Handler, lowest string) *leveled {
	l := &leveled{handler: handler}
	l.use(lowest)
	return l
}

func (l *leveled) use(lowest string) {
	parsed, err := log.ParseLevel(lowest)
	if err != nil {
		parsed = log.InfoLevel
	}
	l.lowest.Store(int64(parsed))
}

// HandleLog implements log.Handler.
func (l *leveled) HandleLog(e *log.Entry) error {
	if int64(e.Level) < l.lowest.Load() {
		return nil
	}
	return l.handler.HandleLog(e)
}
