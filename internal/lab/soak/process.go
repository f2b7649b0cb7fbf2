package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// killWait is how long a process that was told to stop may take before it is killed: longer than the grace of a node.
const killWait = 12 * time.Second

// process is one program that the soak starts and ends, with its command line and its log file.
type process struct {
	name string
	args []string
	log  string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// told means that the process was told to end.
	told    bool
	started int
	// unexpected are the ends that nobody asked for.
	unexpected []string
}

func newProcess(name, log string, args ...string) *process {
	return &process{name: name, args: args, log: log}
}

// start starts the process, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command(p.args[0], p.args[1:]...)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.told, p.ended = command, false, make(chan struct{})
	p.started++
	go p.reap(command, p.ended)
	return nil
}

// reap waits for the end of a process and records one that nobody asked for.
func (p *process) reap(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.told {
		p.unexpected = append(p.unexpected, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	p.command = nil
	close(ended)
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.told = true
	}
	// A process that has just ended takes no signal.
	_ = p.command.Process.Signal(s)
}

// end sends a signal and waits until the process is gone.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	ended := p.ended
	running := p.command != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(s)
	// A paused process ends only once it goes on.
	p.signal(syscall.SIGCONT)
	select {
	case <-ended:
	case <-time.After(killWait):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// starts returns how often the process was started, and whether it runs.
func (p *process) starts() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started, p.command != nil
}

// unexpectedEnds returns the ends that nobody asked for.
func (p *process) unexpectedEnds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpected
}
