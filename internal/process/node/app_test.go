package node

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
)

// TestLogLevel guards against a log level that is accepted but has no effect.
func TestLogLevel(t *testing.T) {
	for level, want := range map[string]int{"debug": 4, "info": 3, "": 3, "warn": 2, "error": 1} {
		lines := memory.New()
		logger := &log.Logger{Handler: newLevelFilter(lines, level), Level: log.DebugLevel}
		logger.Debug("a")
		logger.Info("b")
		logger.Warn("c")
		logger.Error("d")
		is.New(t).Equal(len(lines.Entries), want)
	}
}
