package node

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
)

// Guards against a log level that is accepted and has no effect.
func TestLogLevel(t *testing.T) {
	for lowest, want := range map[string]int{"debug": 4, "info": 3, "": 3, "warn": 2, "error": 1} {
		lines := memory.New()
		logger := &log.Logger{Handler: newLevelFilter(lines, lowest), Level: log.DebugLevel}
		logger.Debug("a")
		logger.Info("b")
		logger.Warn("c")
		logger.Error("d")
		is.New(t).Equal(len(lines.Entries), want)
	}
}
