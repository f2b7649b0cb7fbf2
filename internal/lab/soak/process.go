package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// killTimeout is how long a process may take to stop before it is killed. It exceeds the stop grace of a node.
const killTimeout = 12 * time.Second

// process is a program that the soak starts and stops, with its command line and log file.
type process struct {
	name string
	args []string
	log  string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stopRequested is true if the process has been signaled to end.
	stopRequested bool
	startCount    int
	// unexpected describes the exits that the soak did not request.
	unexpected []string
}

func newProcess(name, log string, args ...string) *process {
	return &process{name: name, args: args, log: log}
}

// start starts the process unless it is running.
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
	p.command, p.stopRequested, p.exited = command, false, make(chan struct{})
	p.startCount++
	go p.reap(command, p.exited)
	return nil
}

// reap waits for the process to exit and records an exit that was not requested.
func (p *process) reap(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopRequested {
		p.unexpected = append(p.unexpected, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
	}
	p.command = nil
	close(exited)
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopRequested = true
	}
	// The error is ignored because the process may have just exited.
	_ = p.command.Process.Signal(s)
}

// stop sends a signal and waits for the process to exit. It kills a process that is still running after killTimeout.
func (p *process) stop(s syscall.Signal) {
	p.mu.Lock()
	exited := p.exited
	running := p.command != nil
	p.mu.Unlock()
	if !running {
		return
	}
	p.signal(s)
	// A paused process exits only after it resumes.
	p.signal(syscall.SIGCONT)
	select {
	case <-exited:
	case <-time.After(killTimeout):
		p.signal(syscall.SIGKILL)
		<-exited
	}
}

// runState returns the number of starts of the process and whether it is running.
func (p *process) runState() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount, p.command != nil
}

// unexpectedExits describes the exits that the soak did not request.
func (p *process) unexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpected
}
