package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestCheckSettings guards against a check that returns success for settings that a node rejects.
func TestCheckSettings(t *testing.T) {
	good := filepath.Join("..", "..", "examples", "sicily", "settings.jsonc")
	bad := filepath.Join(t.TempDir(), "bad.json")
	is.New(t).NoErr(os.WriteFile(bad, []byte(`{"Node": 7}`), 0o600))

	for name, c := range map[string]struct {
		files []string
		code  int
	}{
		"good":         {[]string{good}, exitSuccess},
		"bad":          {[]string{bad}, exitInvalidInput},
		"good and bad": {[]string{good, bad}, exitInvalidInput},
		"missing":      {[]string{bad + "x"}, exitInvalidInput},
	} {
		t.Run(name, func(t *testing.T) {
			command := checkSettingsCommand{Files: c.files}
			is.New(t).Equal(exitCode(command.Run()), c.code)
		})
	}
}
