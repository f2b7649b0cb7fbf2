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
	// inForceWait is the time in which an accepted revision is in force on every node.
	inForceWait = 6 * time.Second
	// steadyWait is how long the nodes are watched for an older revision afterwards.
	steadyWait = 2 * time.Second
	// exitConflict is the exit code of the operator whose change came second.
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

// exitCode returns the exit code of a command that ended with err, and false when it did not run.
func exitCode(err error) (int, bool) {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), true
	}
	return 0, err == nil
}

// raced waits for two operators. One must win and the other must meet a conflict. It sets WINNER and LOSER.
func raced(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: raced NAME NAME")
	}
	first, second := code(ts, args[0]), code(ts, args[1])
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

// endedWith waits for a process to end by itself with an exit code.
func endedWith(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: endedwith CODE NAME")
	}
	if got := code(ts, args[1]); strconv.Itoa(got) != args[0] {
		ts.Fatalf("%s ended with %d; want exit code %s", args[1], got, args[0])
	}
}

// code waits for a process to end and returns its exit code.
func code(ts *testscript.TestScript, name string) int {
	started := named(ts, []string{name})
	select {
	case <-started.ended:
	case <-time.After(endWait):
		ts.Fatalf("%s has not ended after %s", name, endWait)
	}
	got, ok := exitCode(started.err)
	if !ok {
		ts.Fatalf("%s ended with: %v", name, started.err)
	}
	return got
}

// untilWrite starts a process and returns once the platform has counted a write.
func untilWrite(ts *testscript.TestScript, neg bool, args []string) {
	before := writes(ts)
	start(ts, neg, args)
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pace / 10) {
		if writes(ts) > before {
			return
		}
	}
	ts.Fatalf("%s wrote nothing", args[0])
}

func writes(ts *testscript.TestScript) int {
	var counters struct{ Writes int }
	fetch(ts, "http://"+ts.Getenv("PLATFORM")+"/admin/counters", &counters)
	return counters.Writes
}

// fetch decodes the JSON answer to a GET.
func fetch(ts *testscript.TestScript, url string, to any) {
	status, body, err := try(http.MethodGet, url, "")
	ts.Check(err)
	if status != http.StatusOK {
		ts.Fatalf("GET %s: status %d, body %s", url, status, body)
	}
	ts.Check(json.Unmarshal(body, to))
}

// inForce waits until every node has a revision in force. The time counts from the end of a process when one is named. No
// node may go back, then or later.
func inForce(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 || len(args) > 2 {
		ts.Fatalf("usage: inforce REVISION [NAME]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	begun := time.Now()
	if len(args) == 2 {
		code(ts, args[1])
		begun = named(ts, args[1:]).at
	}
	highest := map[int]int{}
	for !allAt(ts, want, highest) {
		if time.Since(begun) > inForceWait {
			ts.Fatalf("revision %d is not in force after %s: %v", want, inForceWait, highest)
		}
		time.Sleep(pace)
	}
	ts.Logf("revision %d in force after %s", want, time.Since(begun))
	for end := time.Now().Add(steadyWait); time.Now().Before(end); time.Sleep(pace) {
		if !allAt(ts, want, highest) {
			ts.Fatalf("revision %d was not the last: %v", want, highest)
		}
	}
}

// allAt reports whether all nodes show a revision, and fails when one shows an older one than before.
func allAt(ts *testscript.TestScript, want int, highest map[int]int) bool {
	all := true
	for n := 1; n <= nodes; n++ {
		var status struct{ Revision int }
		fetch(ts, fmt.Sprintf("http://%s/status", ts.Getenv(fmt.Sprintf("OPERATORS%d", n))), &status)
		if status.Revision < highest[n] {
			ts.Fatalf("n%d went back from revision %d to %d", n, highest[n], status.Revision)
		}
		highest[n] = status.Revision
		all = all && status.Revision == want
	}
	return all
}
