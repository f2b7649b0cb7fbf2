package scenario

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"jayfold.dev/jayfold/internal/lab/link"
)

// exitTimeout is the maximum time until a process ends by itself. The longest deadline of a route is 10 s.
const exitTimeout = 30 * time.Second

// tailBytes is the number of bytes at the end of a process's output that are logged after a scenario.
const tailBytes = 2000

// processes holds the processes and links that a scenario has started, by name.
type processes struct {
	dir     string
	started map[string]*process
	links   map[string]*link.Link
}

type processesKey struct{}

// process is a started process. Once it has ended, err and endedAt are set and ended is closed.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
	err     error
	endedAt time.Time
}

// newProcesses returns an empty set of processes. After the scenario it kills all processes and closes all links.
func newProcesses(env *testscript.Env) *processes {
	p := &processes{dir: env.WorkDir, started: map[string]*process{}, links: map[string]*link.Link{}}
	env.Defer(func() {
		for _, l := range p.links {
			l.Close()
		}
		for name, started := range p.started {
			_ = started.command.Process.Kill()
			<-started.ended
			if tail := p.tail(name); tail != "" {
				env.T().Log(name + ":\n" + tail)
			}
		}
	})
	return p
}

// tail returns the end of a process's output.
func (p *processes) tail(name string) string {
	out, _ := os.ReadFile(filepath.Join(p.dir, name+".out"))
	return string(bytes.TrimSpace(out[max(0, len(out)-tailBytes):]))
}

func processesOf(ts *testscript.TestScript) *processes { return ts.Value(processesKey{}).(*processes) }

func start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME COMMAND ARGS...")
	}
	p := processesOf(ts)
	out, err := os.OpenFile(filepath.Join(p.dir, args[0]+".out"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer func() { _ = out.Close() }()
	command := exec.Command(args[1], args[2:]...)
	command.Dir, command.Stdout, command.Stderr = p.dir, out, out
	ts.Check(command.Start())
	started := &process{command: command, ended: make(chan struct{})}
	go func() {
		started.err, started.endedAt = command.Wait(), time.Now()
		close(started.ended)
	}()
	p.started[args[0]] = started
}

// namedProcess returns a started process.
func namedProcess(ts *testscript.TestScript, args []string) *process {
	if len(args) != 1 {
		ts.Fatalf("want the name of one process")
	}
	started, ok := processesOf(ts).started[args[0]]
	if !ok {
		ts.Fatalf("no process %s was started", args[0])
	}
	return started
}

func signalCommand(s syscall.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		ts.Check(namedProcess(ts, args).command.Process.Signal(s))
	}
}

func ended(ts *testscript.TestScript, neg bool, args []string) {
	started := namedProcess(ts, args)
	select {
	case <-started.ended:
	case <-time.After(exitTimeout):
		ts.Fatalf("%s has not ended after %s", args[0], exitTimeout)
	}
	ts.Logf("%s", processesOf(ts).tail(args[0]))
	if failed := started.err != nil; failed != neg {
		ts.Fatalf("%s ended with: %v", args[0], started.err)
	}
}
