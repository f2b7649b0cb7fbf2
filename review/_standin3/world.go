package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	started    = time.Now()
	trouble    = os.Getenv("TROUBLE") != "0"
)

// record writes a line to record.txt, with the seconds since the start.
func record(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, values...))
}

func at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(started).Seconds()) }

// sleepUntil sleeps until a time after the given one.
func sleepUntil(from time.Time, after time.Duration) { time.Sleep(time.Until(from.Add(after))) }

// world is a small deployment: a store, and machines with a node of jayfold each.
type world struct {
	folder string
	prefix string
	store  *store
	nodes  []*node
	all    *runs
	mu     sync.Mutex
	ended  bool
}

// node is the program of the deploy file on one machine.
type node struct {
	w                                  *world
	name, ip, zone, service            string
	inbound, outbound, ready, ctl, app string
	settings                           string
	command                            *exec.Cmd
	mu                                 sync.Mutex
	exited                             chan struct{}
	bounds                             map[string]string
	// oneCore is true if the process runs on one core only, as the machines of the pages show one.
	oneCore bool
}

var theWorld *world

func newWorld() *world {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
	pid := os.Getpid()
	w := &world{folder: folder, prefix: fmt.Sprintf("127.%d.%d.", 20+pid%200, 1+(pid/200)%250), all: &runs{}}
	theWorld = w
	w.store = newStore(w.prefix + "1")
	return w
}

// freePort returns a port that is free at an address.
func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer func() { _ = l.Close() }()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// addNode adds a machine and writes its settings file, from the template of the deploy file.
func (w *world) addNode(zone, service string, memoryMb int, bounds map[string]string) *node {
	i := len(w.nodes) + 1
	n := &node{w: w, name: fmt.Sprintf("sidecar-%s-%d", zone, i), ip: fmt.Sprintf("%s%d", w.prefix, 10+i), zone: zone, service: service, bounds: bounds}
	port := map[string]string{}
	for _, name := range []string{"inbound", "outbound", "ready", "control", "app", "first", "last"} {
		port[name] = freePort(n.ip)
	}
	n.inbound, n.outbound, n.ready = n.ip+":"+port["inbound"], n.ip+":"+port["outbound"], n.ip+":"+port["ready"]
	n.ctl, n.app = n.ip+":"+port["control"], n.ip+":"+port["app"]
	values := map[string]string{
		"Node": n.name, "Zone": zone, "Ip": n.ip, "Service": service, "Listen.Outbound": n.outbound, "Listen.Inbound": n.inbound,
		"Listen.Ready": n.ready, "Listen.Control": n.ctl, wire("@ports@.0"): port["first"], wire("@ports@.1"): port["last"],
		"HeartbeatMs": "1500", "Limits.MemoryMb": fmt.Sprint(memoryMb), "Platform.Address": w.store.address,
		"Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryWindowS": "10", "Bounds.RetrySlack": "58", "Bounds.GraceS": "6",
	}
	for k, v := range bounds {
		values["Bounds."+k] = v
	}
	template, err := os.ReadFile("platform/settings.jsonc.tmpl")
	check(err)
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		name := strings.Trim(p, "{}")
		value, ok := values[name]
		if !ok {
			check(fmt.Errorf("the template has an unknown field %s", name))
		}
		return value
	})
	n.settings = filepath.Join(w.folder, n.name+".jsonc")
	check(os.WriteFile(n.settings, []byte(text), 0o644))
	w.nodes = append(w.nodes, n)
	return n
}

// start starts the program with the command of the deploy file, with the descriptors that the settings of the pages give a machine.
func (n *node) start() {
	check(n.startProcess())
}

func (n *node) startProcess() error {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.w.ended {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(n.w.folder, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	line := "ulimit -n 4100; exec target/sidecar"
	if _, err := exec.LookPath("taskset"); n.oneCore && err == nil {
		line = "ulimit -n 4100; exec taskset -c 0 target/sidecar"
	}
	n.command = exec.Command("/bin/sh", "-c", line)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.w.folder, wire("@settingsFile@=") + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		n.command = nil
		return err
	}
	n.exited = make(chan struct{})
	command, exited := n.command, n.exited
	go func() {
		err := command.Wait()
		record("%s: process %d ended: %v", n.name, command.Process.Pid, err)
		_ = log.Close()
		close(exited)
	}()
	record("%s: process %d started", n.name, n.command.Process.Pid)
	return nil
}

// kill sends SIGKILL to the node's process and waits for its end.
func (n *node) kill() {
	record("%s: SIGKILL", n.name)
	_ = n.command.Process.Kill()
	<-n.exited
}

// term sends SIGTERM, SIGKILL after the grace, and waits for the end.
func (n *node) term(grace time.Duration) {
	record("%s: SIGTERM", n.name)
	_ = n.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(grace):
		n.kill()
	}
}

func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// isReady asks the node once, as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + n.ready + "/jayfold/v1/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// waitReady waits until all nodes are ready.
func (w *world) waitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				check(fmt.Errorf("%s isn't ready", n.name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		if n.command != nil {
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
}

// cannotRun ends the script with the code for a case that could not run.
func cannotRun() { finish(2) }

var finishOnce sync.Once

func finish(code int) {
	finishOnce.Do(func() {
		if theWorld != nil {
			theWorld.close()
		}
		os.Exit(code)
	})
	select {}
}
