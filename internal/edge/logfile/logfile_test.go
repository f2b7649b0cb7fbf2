package logfile_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/edge/logfile"
)

const ingress = `{"fields":{"AvailabilityZone":"z","Node":"n1"},"level":"info","timestamp":"2026-12-04T10:00:00Z","message":"node: started"}
{"fields":{"Revision":7},"level":"info","timestamp":"2026-12-04T10:00:01Z","message":"tables: revision in force"}
{"fields":{"Revision":9},"level":"info","timestamp":"2026-12-04T10:00:04Z","message":"tables: revision in force"}
no JSON here
{"fields":{"Request":"other","Cause":"NoRoute"},"level":"warn","timestamp":"2026-12-04T10:00:05Z","message":"request: request refused on arrival"}
{"fields":{"Request":"r1","Cause":"Broken","Verdict":"MayHaveRun","Detail":"connection reset"},"level":"warn","timestamp":"2026-12-04T10:00:06.5Z","message":"request: request refused"}
`

const sidecar = `  3.2 n2 {"fields":{"Target":"n2/a","Score":2.8},"level":"warn","timestamp":"2026-12-04T10:00:02Z","message":"health: target suspect, takes only trials"}
  3.3 n2 {"fields":{"Target":"n2/other","Score":2.8},"level":"warn","timestamp":"2026-12-04T10:00:02Z","message":"health: target suspect, takes only trials"}
  4.0 n2 {"fields":{"Target":"n2/a"},"level":"info","timestamp":"2026-12-04T10:00:03Z","message":"health: target trusted again"}
  6.4 n2 {"fields":{"Request":"r1","Attempt":"r1.1","Target":"n2/a","Cause":"Broken"},"level":"warn","timestamp":"2026-12-04T10:00:06.4Z","message":"admission: run failed"}
  6.1 n2 {"fields":{"Request":"c7","Parent":"r1","Cause":"NoTarget"},"level":"warn","timestamp":"2026-12-04T10:00:06.1Z","message":"request: request refused"}
`

const want = `request r1

n2 at 10:00:06.100 had last logged:
  health: target trusted again Target=n2/a, 3.1s ago

n1 at 10:00:06.500 had last logged:
  tables: revision in force Revision=9, 2.5s ago

10:00:06.100 n2 request: request refused Cause=NoTarget Parent=r1 Request=c7
10:00:06.400 n2 admission: run failed Attempt=r1.1 Cause=Broken Request=r1 Target=n2/a
10:00:06.500 n1 request: request refused Cause=Broken Detail="connection reset" Request=r1 Verdict=MayHaveRun
`

// read reads a log and checks the number of lines that are not log lines.
func read(t *testing.T, name, content string, skipped int) []logfile.Line {
	t.Helper()
	lines, got, err := logfile.Read(name, strings.NewReader(content))
	is.New(t).NoErr(err)
	is.New(t).Equal(got, skipped)
	return lines
}

// TestTrace guards against a trace that lacks a line about the request, contains lines about other requests, or lists state under
// a node that had not logged it.
func TestTrace(t *testing.T) {
	lines := append(read(t, "logs/one.log", ingress, 1), read(t, "all.log", sidecar, 0)...)
	t.Run("lines in order and state of the nodes", func(t *testing.T) {
		var out bytes.Buffer
		logfile.NewTrace(lines, "r1").Print(&out)
		is.New(t).Equal(out.String(), want)
	})
	t.Run("request without lines", func(t *testing.T) {
		is.New(t).Equal(len(logfile.NewTrace(lines, "r").Lines), 0)
	})
}

// FuzzRead guards against lines of other programs that make Read or NewTrace panic.
func FuzzRead(f *testing.F) {
	f.Add(ingress)
	f.Add("{\"message\":\"x\",\"fields\":null}\n{\"fields\":[]}\n{{{\n")
	f.Fuzz(func(_ *testing.T, content string) {
		lines, _, err := logfile.Read("a", strings.NewReader(content))
		if err == nil {
			logfile.NewTrace(lines, "r1").Print(&bytes.Buffer{})
		}
	})
}
