// Package scenario runs scripted scenarios with real processes on loopback.
//
// # Usage
//
// Each file testdata/*.txtar is one scenario for github.com/rogpeppe/go-internal/testscript. The harness builds jayfold and
// jayfold-lab, hands out free ports and writes the settings and the tables. These commands are added:
//
//	fleet [SERVICETIME]           start the platform, apply the tables, start three nodes and six targets, wait for them;
//	                              the links peersN and forwardN carry what other nodes send to the nth
//	start NAME COMMAND ARGS...    start a process; its output goes to NAME.out
//	[!] ended NAME                wait for a process to end by itself with status 0 (or another)
//	sigkill|sigstop|sigcont|sigterm NAME  send a signal; testscript itself has kill, stop and wait
//	waitfor URL                   wait until a GET is answered with status 200
//	get|post|put URL STATUS [TEXT]  repeat a request until its status and body match; a body is read from the file "body"
//	link NAME LISTEN TARGET       forward a TCP address
//	order NAME URL BODY [HEADER=VALUE...]  send a POST once, in the background
//	answered NAME STATUS VERDICT  check the answer to an order and write it to NAME.body; noted NAME only shows it
//	runs TOKEN NUMBER             wait until the ledgers show that many runs of a token; more fail at once
//	home NAME                     set HOME_NODE to the node of an order's target, OTHER to the URL of another one
//	exits CODE COMMAND ARGS...    run a command, which must end with an exit code
//	raced NAME NAME               wait for two processes, of which one ends with 0 and one with 3; set WINNER and LOSER
//	untilwrite NAME COMMAND ARGS...  start a process and wait until the platform counts a write
//	endedwith CODE NAME           wait for a process to end by itself with an exit code
//	inforce REVISION [NAME]       wait until all nodes have a revision, at most 6 s after NAME ended, and watch that they keep it
//	cut NAME forward|backward     stop one direction of a link; heal NAME restores it
package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// atOnce bounds the scenarios that run at the same time. Each has about a dozen processes.
const atOnce = 2

func TestMain(m *testing.M) { os.Exit(build(m)) }

// build puts the two commands on the path and runs the tests.
func build(m *testing.M) int {
	bin, err := os.MkdirTemp("", "jayfold-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(bin) }()
	args := append([]string{"build", "-o", bin}, buildFlags...)
	command := exec.Command("go", append(args, "jayfold.dev/jayfold/cmd/jayfold", "jayfold.dev/jayfold/cmd/jayfold-lab")...)
	if out, err := command.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	if err := os.Setenv("PATH", bin+string(filepath.ListSeparator)+os.Getenv("PATH")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

func TestScenarios(t *testing.T) {
	places := make(chan struct{}, atOnce)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			places <- struct{}{}
			env.Defer(func() { <-places })
			return setUp(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":        fleet,
			"start":        start,
			"disconnected": disconnected,
			"ended":        ended,
			"sigkill":      signal(syscall.SIGKILL),
			"sigstop":      signal(syscall.SIGSTOP),
			"sigcont":      signal(syscall.SIGCONT),
			"sigterm":      signal(syscall.SIGTERM),
			"sighup":       signal(syscall.SIGHUP),
			"waitfor":      waitFor,
			"get":          request("GET"),
			"post":         request("POST"),
			"put":          request("PUT"),
			"link":         startLink,
			"cut":          cut,
			"heal":         heal,
			"order":        order,
			"answered":     answered,
			"noted":        noted,
			"requestof":    requestOf,
			"runs":         runs,
			"home":         home,
			"exits":        exits,
			"endedwith":    endedWith,
			"raced":        raced,
			"untilwrite":   untilWrite,
			"inforce":      inForce,
		},
	})
}
