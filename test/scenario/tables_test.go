package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// inForceTimeout is the maximum time until an accepted revision is in force on every node.
	inForceTimeout = 6 * time.Second
	// steadyDuration is how long the revision must then stay in force.
	steadyDuration = 2 * time.Second
	// exitConflict is the exit code of a change that was rejected because another change was accepted first.
	exitConflict = 3
)

// exits runs a command and checks its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND ARGS...")
	}
	err := ts.Exec(args[1], args[2:]...)
	if got, ok := exitCode(err); !ok || strconv.Itoa(got) != args[0] {
		ts.Fatalf("%s ended with %v; want exit code %s", args[1], err, args[0])
	}
}

// exitCode returns the exit code of a command that returned err, and false if it did not run.
func exitCode(err error) (int, bool) {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), true
	}
	return 0, err == nil
}

// raced waits for two concurrent changes, one of which must be accepted and the other rejected as a conflict. It sets WINNER and
// LOSER to their names.
func raced(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: raced NAME NAME")
	}
	first, second := awaitExitCode(ts, args[0]), awaitExitCode(ts, args[1])
	switch {
	case first == 0 && second == exitConflict:
	case first == exitConflict && second == 0:
		args[0], args[1] = args[1], args[0]
	default:
		ts.Fatalf("%s ended with %d and %s with %d; want 0 and %d", args[0], first, args[1], second, exitConflict)
	}
	ts.Setenv("WINNER", args[0])
	ts.Setenv("LOSER", args[1])
}

// endedWith waits for a process to end by itself and checks its exit code.
func endedWith(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: endedwith CODE NAME")
	}
	if got := awaitExitCode(ts, args[1]); strconv.Itoa(got) != args[0] {
		ts.Fatalf("%s ended with %d; want exit code %s", args[1], got, args[0])
	}
}

// awaitExitCode waits for a process to end by itself and returns its exit code.
func awaitExitCode(ts *testscript.TestScript, name string) int {
	started := namedProcess(ts, []string{name})
	select {
	case <-started.ended:
	case <-time.After(exitTimeout):
		ts.Fatalf("%s has not ended after %s", name, exitTimeout)
	}
	got, ok := exitCode(started.err)
	if !ok {
		ts.Fatalf("%s ended with: %v", name, started.err)
	}
	return got
}

// untilWrite starts a process and waits until the platform has received a write.
func untilWrite(ts *testscript.TestScript, neg bool, args []string) {
	before := writeCount(ts)
	start(ts, neg, args)
	for deadline := time.Now().Add(retryTimeout); time.Now().Before(deadline); time.Sleep(retryInterval / 10) {
		if writeCount(ts) > before {
			return
		}
	}
	ts.Fatalf("%s has written nothing to the platform", args[0])
}

func writeCount(ts *testscript.TestScript) int {
	var counters struct{ Writes int }
	getJSON(ts, "http://"+ts.Getenv("PLATFORM")+"/admin/counters", &counters)
	return counters.Writes
}

// getJSON sends a GET and decodes the JSON response.
func getJSON(ts *testscript.TestScript, url string, to any) {
	status, body, err := sendOnce(http.MethodGet, url, "")
	ts.Check(err)
	if status != http.StatusOK {
		ts.Fatalf("GET %s: status %d, body %s", url, status, body)
	}
	ts.Check(json.Unmarshal(body, to))
}

// inForce waits until a revision is in force on every node, at most inForceTimeout after the end of the named process, or after
// the start of the command if none is named. It then checks for steadyDuration that the revision stays in force. No node may
// return to an older revision.
func inForce(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 || len(args) > 2 {
		ts.Fatalf("usage: inforce REVISION [NAME]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	started := time.Now()
	if len(args) == 2 {
		awaitExitCode(ts, args[1])
		started = namedProcess(ts, args[1:]).endedAt
	}
	highest := map[int]int{}
	for !allInForce(ts, want, highest) {
		if time.Since(started) > inForceTimeout {
			ts.Fatalf("revision %d is not in force after %s: %v", want, inForceTimeout, highest)
		}
		time.Sleep(retryInterval)
	}
	ts.Logf("revision %d in force after %s", want, time.Since(started))
	for deadline := time.Now().Add(steadyDuration); time.Now().Before(deadline); time.Sleep(retryInterval) {
		if !allInForce(ts, want, highest) {
			ts.Fatalf("revision %d did not stay in force: %v", want, highest)
		}
	}
}

// allInForce reports whether a revision is in force on all nodes. It fails if a node has returned to an older revision than the
// highest one seen on it.
func allInForce(ts *testscript.TestScript, want int, highest map[int]int) bool {
	all := true
	for n := 1; n <= nodes; n++ {
		var status struct{ Revision int }
		getJSON(ts, fmt.Sprintf("http://%s/status", ts.Getenv(fmt.Sprintf("OPERATORS%d", n))), &status)
		if status.Revision < highest[n] {
			ts.Fatalf("n%d returned from revision %d to %d", n, highest[n], status.Revision)
		}
		highest[n] = status.Revision
		all = all && status.Revision == want
	}
	return all
}
