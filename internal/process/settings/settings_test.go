package settings_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/edge/configfile"
	"jayfold.dev/jayfold/internal/process/settings"
)

const validSettings = `{
	// A comment.
	"Node": "n1", "AvailabilityZone": "z", "Host": "10.0.0.1",
	"Listen": {"Callers": "0.0.0.0:1", "Targets": "127.0.0.1:2", "Peers": "10.0.0.1:3", "Forward": "[::]:4",
		"Operators": "127.0.0.1:5"},
	"Platform": "http://10.0.0.9:7000/",
}`

// assertProblems checks that the settings are rejected with exactly these problems.
func assertProblems(t *testing.T, content string, want ...string) {
	t.Helper()
	_, err := settings.Parse("s", []byte(content))
	var problems configfile.Problems
	is.New(t).True(errors.As(err, &problems))
	var got []string
	for _, p := range problems {
		got = append(got, p.Error())
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got problems\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// TestParse guards against a node that starts with misread settings, and against reports of only the first problem.
func TestParse(t *testing.T) {
	change := func(old, changed string) string { return strings.Replace(validSettings, old, changed, 1) }

	t.Run("valid settings with the default limits", func(t *testing.T) {
		s, err := settings.Parse("s", []byte(validSettings))
		is.New(t).NoErr(err)
		is.New(t).Equal(s.PeerAddress(), "10.0.0.1:3")
		is.New(t).Equal(s.ForwardAddress(), "10.0.0.1:4")
		is.New(t).Equal(s.Platform, "http://10.0.0.9:7000")
		is.New(t).Equal(s.Limits.MaxBodyBytes, int64(1<<20))
	})

	t.Run("placement", func(t *testing.T) {
		is := is.New(t)
		s, err := settings.Parse("s", []byte(validSettings))
		is.NoErr(err)
		is.Equal(s.Reloadable().Placement, fleet.PlacementByCount)
		s, err = settings.Parse("s", []byte(change(`"Host"`, `"Placement": "cost", "Host"`)))
		is.NoErr(err)
		is.Equal(s.Reloadable().Placement, fleet.PlacementByCost)
		assertProblems(t, change(`"Host"`, `"Placement": "speed", "Host"`),
			`s:3:54: Placement: "speed" is not allowed; want count or cost`)
	})

	t.Run("all problems are reported together", func(t *testing.T) {
		assertProblems(t, `{"Node": 7, "AvailabilityZone": "a b", "Host": "0.0.0.0", "Listen": [], "Nod": 1,
  "LogLevel": "loud", "Limits": {"MaxBodyBytes": 1.5, "BodyTimeout": "1h"}, "LogLevel": "info"}`,
			`s:1:1: field Platform is missing`,
			`s:1:10: Node: is a number; want a string`,
			`s:1:33: AvailabilityZone: "a b" is not allowed; want 1 to 64 letters, digits, dots, hyphens and underscores `+
				`that start with a letter or digit`,
			`s:1:48: Host: want the IP address of this host, such as 10.0.1.11`,
			`s:1:69: Listen: is an array; want an object with Callers, Targets, Peers, Forward, Operators, Ready`,
			`s:1:73: Nod: unknown field; want Node, AvailabilityZone, Host, Listen, Advertise, Platform, DefaultCaller, `+
				`Retries, Heartbeat, StopGrace, ZoneTraffic, LogLevel, Placement, Limits`,
			`s:2:15: LogLevel: "loud" is not allowed; want debug or info or warn or error`,
			`s:2:50: Limits.MaxBodyBytes: 1.5 is not allowed; want a whole number from 1024 to 67108864`,
			`s:2:70: Limits.BodyTimeout: "1h" is not allowed; want a duration from "100ms" to "10m0s", such as "1.5s" or "24h"`,
			`s:2:77: LogLevel: the field is set twice`)
	})

	t.Run("addresses that conflict or that other nodes cannot reach", func(t *testing.T) {
		assertProblems(t, change("127.0.0.1:2", "127.0.0.1:1"), `s:4:48: Listen.Targets: another listener has 0.0.0.0:1`)
		assertProblems(t, change("10.0.0.1:3", "127.0.0.1:3"),
			`s:4:72: Listen.Peers: 127.0.0.1 is not reachable by other nodes; want Host (10.0.0.1) or an unspecified address`)
		assertProblems(t, change("127.0.0.1:2", "localhost:2"),
			`s:4:48: Listen.Targets: want an IP address and a port, such as 127.0.0.1:8080`)
	})

	t.Run("content that is not JSON", func(t *testing.T) {
		assertProblems(t, "{\n\"Node\" 7}", `s:2:8: not JSON with comments: invalid character '7' after object name`)
		assertProblems(t, "", `s:1:1: not JSON with comments: parsing value: unexpected EOF`)
		assertProblems(t, strings.Repeat("[", 200_000), `s:1:1: more than 100000 arrays and objects`)
	})
}

// FuzzParse guards against settings that crash the parser, and against accepted settings that lack a required field.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		validSettings, "", "{}", `{"Node": null}`, `[{"Node": "n1"}]`, `{"Limits": {"MaxBodyBytes": 1e400}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := settings.Parse("s", content)
		if err == nil && (s.Node == "" || s.Listen.Peers.Port() == 0 || s.Platform == "") {
			t.Fatalf("accepted incomplete settings: %+v", s)
		}
	})
}
