package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	orDie(err, "record")
	return &record{file: f, start: time.Now()}
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// machine is a machine of the deployment: a node process, started with the command of deploy/system.toml, and the settings file that the
// template of deploy/system.toml gives.
type machine struct {
	name, zone, service, ip                             string
	outbound, ready, control, inbound, peers, operators string
	settings, log                                       string
	process                                             *exec.Cmd
	ended                                               chan struct{}
	limit                                               string
}

// freeAddress returns an address with a port that is free now.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	orDie(err, "free port")
	defer l.Close()
	return l.Addr().String()
}

func newMachine(dir, name, zone, service, ip, store string, memoryMB int) *machine {
	m := &machine{name: name, zone: zone, service: service, ip: ip}
	for _, a := range []*string{&m.outbound, &m.ready, &m.control, &m.inbound, &m.peers, &m.operators} {
		*a = freeAddress(ip)
	}
	template, err := os.ReadFile("platform/settings.jsonc.tmpl")
	orDie(err, "template")
	text := strings.NewReplacer(
		"{{Ip}}:{{"+names["ports"]+".0}}", m.peers, "{{Ip}}:{{"+names["ports"]+".1}}", m.operators,
		"{{Node}}", name, "{{Zone}}", zone, "{{Ip}}", ip, "{{Service}}", service,
		"{{Listen.Outbound}}", m.outbound, "{{Listen.Ready}}", m.ready, "{{Listen.Control}}", m.control, "{{Listen.Inbound}}", m.inbound,
		"{{Bounds.RetryBudgetRatio}}", "0.2", "{{Bounds.RetryWindowS}}", "10", "{{Bounds.RetrySlack}}", "58",
		"{{HeartbeatMs}}", "1500", "{{Bounds.GraceS}}", "6", "{{Limits.MemoryMb}}", fmt.Sprint(memoryMB), "{{Platform.Address}}", store,
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		panic("a field of the settings template is not known: " + text)
	}
	m.settings, m.log = filepath.Join(dir, name+".jsonc"), filepath.Join(dir, name+".log")
	orDie(os.WriteFile(m.settings, []byte(text), 0o600), "settings")
	return m
}

// start starts the node. limit is the number of descriptors; 0 leaves it alone.
func (m *machine) start(descriptors int) {
	f, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	orDie(err, "log")
	m.process = exec.Command("target/sidecar")
	if descriptors > 0 {
		m.process = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/sidecar", descriptors))
	}
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settingsFile"] + "=" + m.settings}
	m.process.Stdout, m.process.Stderr = f, f
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	orDie(m.process.Start(), "start a node")
	process, ended := m.process, make(chan struct{})
	m.ended = ended
	go func() {
		_ = process.Wait()
		_ = f.Close()
		close(ended)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// kill ends the node at once and waits for its end.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill()
	<-m.ended
}

// waitReady waits until the node answers that it is ready.
func (m *machine) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return true
		}
	}
	return false
}
