package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/lab/platform"
)

const (
	routesFile = `{"Routes": [{"Name": "all", "PathPrefix": "/", "Pool": "p", "Deadline": "1s"}]}`
	poolsFile  = `{"Pools": [{"Name": "p", "Service": "s", "Floor": 4, "FalseEjectionInterval": "24h"}]}`
)

// runTables runs a tables command and returns its exit code and its output.
func runTables(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	var cli struct {
		Tables tablesCommand `cmd:""`
	}
	parser, err := kong.New(&cli, kong.Writers(&out, &out))
	is.New(t).NoErr(err)
	k, err := parser.Parse(append([]string{"tables"}, args...))
	if err == nil {
		err = k.Run()
	}
	if err != nil {
		out.WriteString(err.Error())
	}
	return exitCode(err), out.String()
}

// newPlatform starts a simulated platform and returns its URL.
func newPlatform(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- platform.New(platform.Limits{}, time.Now).Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-ended)
	})
	return "http://" + listener.Addr().String()
}

// writeTables writes the two tables files and returns the flags that name them.
func writeTables(t *testing.T, routes, pools string) []string {
	t.Helper()
	dir := t.TempDir()
	routesPath, poolsPath := filepath.Join(dir, "routes.jsonc"), filepath.Join(dir, "pools.jsonc")
	is.New(t).NoErr(os.WriteFile(routesPath, []byte(routes), 0o600))
	is.New(t).NoErr(os.WriteFile(poolsPath, []byte(pools), 0o600))
	return []string{"--routes", routesPath, "--pools", poolsPath}
}

// assertRun checks the exit code of a command and that its output contains want.
func assertRun(t *testing.T, code int, want string, args ...string) {
	t.Helper()
	got, out := runTables(t, args...)
	if got != code || !strings.Contains(out, want) {
		t.Errorf("%v: exit code %d and output %q; want %d and %q", args, got, out, code, want)
	}
}

// TestTables guards against commands that return the wrong exit code for success, a conflict or invalid input.
func TestTables(t *testing.T) {
	good := writeTables(t, routesFile, poolsFile)
	changed := writeTables(t, strings.Replace(routesFile, "1s", "2s", 1), poolsFile)
	bad := writeTables(t, strings.Replace(routesFile, `"p"`, `"q"`, 1), poolsFile)
	url := newPlatform(t)
	command := func(name string, files []string, more ...string) []string {
		return append(append([]string{name}, files...), more...)
	}

	t.Run("check", func(t *testing.T) {
		assertRun(t, exitSuccess, "1 routes and 1 pools are valid", command("check", good)...)
		assertRun(t, exitInvalidInput, `routes.jsonc:1:56: Routes[0].Pool: no pool is called "q"`, command("check", bad)...)
		assertRun(t, exitInvalidInput, "no such file", "check", "--routes", "absent", "--pools", "absent")
		assertRun(t, exitInvalidInput, "missing flags", "check")
	})

	t.Run("apply, diff and show", func(t *testing.T) {
		assertRun(t, exitSuccess, "+ route all", command("diff", good, "--platform", url)...)
		assertRun(t, exitSuccess, "revision 1 is accepted", command("apply", good, "--platform", url, "--expect", "0")...)
		assertRun(t, exitSuccess, "no change to revision 1", command("apply", good, "--platform", url)...)
		assertRun(t, exitConflict, `~ route all Deadline="1s" -> "2s"`,
			command("apply", changed, "--platform", url, "--expect", "0")...)
		assertRun(t, exitSuccess, "pool p has a floor of 4 and 0 known targets", command("apply", changed, "--platform", url)...)
		assertRun(t, exitSuccess, `"Deadline": "2s"`, "show", "--platform", url)
	})

	t.Run("apply replaces a corrupt head", func(t *testing.T) {
		req, err := http.NewRequest(http.MethodPut, url+"/v1/objects/tables/head", strings.NewReader("nonsense"))
		is.New(t).NoErr(err)
		res, err := http.DefaultClient.Do(req)
		is.New(t).NoErr(err)
		is.New(t).NoErr(res.Body.Close())
		assertRun(t, exitFailure, "does not decode", "show", "--platform", url)
		assertRun(t, exitFailure, "expect the highest revision", command("apply", good, "--platform", url)...)
		assertRun(t, exitSuccess, "revision 3 is accepted", command("apply", good, "--platform", url, "--expect", "2")...)
	})

	t.Run("an unreachable platform", func(t *testing.T) {
		assertRun(t, exitFailure, "refused", "show", "--platform", "http://127.0.0.1:1")
	})
}
