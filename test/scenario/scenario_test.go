// Package scenario runs scripted scenarios with real processes on loopback.
//
// # Usage
//
// Each file testdata/*.txtar is one scenario for github.com/rogpeppe/go-internal/testscript. The harness builds jayfold and
// jayfold-lab, picks free ports and writes the settings and the tables. It adds these commands:
//
//	fleet [SERVICETIME]           start the platform, apply the tables, start three nodes and six targets, and wait for them;
//	                              the links peersN and forwardN carry the traffic from other nodes to node N
//	start NAME COMMAND ARGS...    start a process and write its output to NAME.out
//	[!] ended NAME                wait for a process to end by itself with exit code 0 (or another)
//	sigkill|sigstop|sigcont|sigterm|sighup NAME  send a signal; testscript itself defines kill, stop and wait
//	waitfor URL                   retry a GET until its status is 200
//	get|post|put URL STATUS [REGEXP]  retry a request until its response has the status and a matching body, and write that
//	                              body to last.body; the body of a post or put is read from the file "body"
//	link NAME LISTEN DESTINATION  start a TCP proxy between two addresses
//	order NAME URL BODY [HEADER=VALUE...]  send a POST once, in the background
//	answered NAME STATUS VERDICT  check the response to an order and write its body to NAME.body; noted NAME only logs it
//	requestof NAME                set REQUEST and VERDICT from the refusal in NAME.body
//	runs TOKEN NUMBER             wait until the ledgers show NUMBER runs of a token; fail at once if there are more
//	home NAME                     set HOME_NODE to the node of an order's target, OTHER to the URL of another running node
//	exits CODE COMMAND ARGS...    run a command and check its exit code
//	raced NAME NAME               wait for two processes, one of which must end with 0 and one with 3; set WINNER and LOSER
//	untilwrite NAME COMMAND ARGS...  start a process and wait until the platform has received a write
//	endedwith CODE NAME           wait for a process to end by itself and check its exit code
//	inforce REVISION [NAME]       wait until a revision is in force on all nodes, at most 6 s after NAME ended, and check
//	                              that it stays in force
//	cut NAME forward|backward     block one direction of a link; heal NAME unblocks both
//	disconnected NODE             wait until the links to a node carry no connection
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

// maxParallel is the number of scenarios that run at the same time. Each has about a dozen processes.
const maxParallel = 2

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds jayfold and jayfold-lab, adds them to PATH and runs the tests.
func buildAndRun(m *testing.M) int {
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

// TestScenarios guards against faults that show only between real processes: with killed, frozen and draining nodes and targets,
// cut links, outages of the platform, and concurrent changes of the tables.
func TestScenarios(t *testing.T) {
	slots := make(chan struct{}, maxParallel)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			env.Defer(func() { <-slots })
			return setUp(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":        fleet,
			"start":        start,
			"disconnected": disconnected,
			"ended":        ended,
			"sigkill":      signalCommand(syscall.SIGKILL),
			"sigstop":      signalCommand(syscall.SIGSTOP),
			"sigcont":      signalCommand(syscall.SIGCONT),
			"sigterm":      signalCommand(syscall.SIGTERM),
			"sighup":       signalCommand(syscall.SIGHUP),
			"waitfor":      waitFor,
			"get":          requestUntil("GET"),
			"post":         requestUntil("POST"),
			"put":          requestUntil("PUT"),
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
			"getwithkey":   getWithKey,
		},
	})
}
