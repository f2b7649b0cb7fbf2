package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// node is a process of the product, started with the command of the deploy file and the settings of its template.
type node struct {
	name, zone, host                  string
	outbound, ready, control, inbound string
	settings, log                     string
	command                           *exec.Cmd
}

var placeholder = regexp.MustCompile(`\{\{[A-Za-z0-9.]+\}\}`)

// network is the first three numbers of the loopback addresses of this run. Each machine has an address of its own, so that neither another
// run nor the outgoing connections of this machine take a port between its choice and its use.
var network = fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), rand.IntN(256))

// storeHost is the last number of the store's address.
const storeHost = 250

func hostAddress(number int) string { return fmt.Sprintf("%s.%d", network, number) }

// usedAddresses holds the addresses that freePort has returned.
var usedAddresses = map[string]bool{}

// freePort returns a port of a host that was free a moment ago. It returns each port once.
func freePort(host string) string {
	for {
		listener, err := net.Listen("tcp", host+":0")
		check(err)
		address := listener.Addr().String()
		_ = listener.Close()
		if !usedAddresses[address] {
			usedAddresses[address] = true
			_, port, err := net.SplitHostPort(address)
			check(err)
			return port
		}
	}
}

func newNode(dir, host, name, zone, service, platform string) *node {
	address := func() string { return host + ":" + freePort(host) }
	n := &node{
		name: name, zone: zone, host: host, outbound: address(), ready: address(), control: address(), inbound: address(),
		settings: filepath.Join(dir, name+".conf"), log: filepath.Join(dir, name+".log"),
	}
	fields := map[string]string{
		"Node": name, "Zone": zone, "Ip": host, "Service": service, "HeartbeatMs": "1500",
		"Listen.Outbound": n.outbound, "Listen.Ready": n.ready, "Listen.Control": n.control, "Listen.Inbound": n.inbound,
		wire.NodePorts + ".0": freePort(host), wire.NodePorts + ".1": freePort(host), "Platform.Address": platform,
		"Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryWindowS": "10", "Bounds.RetrySlack": "58", "Bounds.GraceS": "6",
	}
	template, err := os.ReadFile("platform/settings.jsonc.tmpl")
	check(err)
	content := placeholder.ReplaceAllStringFunc(string(template), func(field string) string {
		value, ok := fields[strings.Trim(field, "{}")]
		if !ok {
			fail(fmt.Errorf("the template has the unknown field %s", field))
		}
		return value
	})
	check(os.WriteFile(n.settings, []byte(content), 0o600))
	return n
}

// start starts the process. It is killed when this program ends in whatever way.
func (n *node) start() {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	n.command = exec.Command("target/sidecar")
	n.command.Env = []string{wire.SettingsPath + "=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(n.command.Start())
	_ = log.Close()
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// kill ends the process and waits for its end.
func (n *node) kill() {
	if n.command != nil && n.command.ProcessState == nil {
		n.signal(syscall.SIGKILL)
		_ = n.command.Wait()
	}
}

// waitReady waits until the node answers the platform's readiness question.
func (n *node) waitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if response, err := client.Get("http://" + n.ready + "/jayfold/v1/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}
