package hostile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"jayfold.dev/jayfold/internal/lab/link"
)

const (
	// startTimeout bounds the wait for the node and its target.
	startTimeout = 20 * time.Second
	// largeBytes is the size of the responses on /large.
	largeBytes = 600 << 10
)

const routes = `{"Routes": [
	{"Name": "read", "PathPrefix": "/large", "Pool": "shop", "Class": "Lookup", "Deadline": "10s"},
	{"Name": "order", "PathPrefix": "/orders", "Methods": ["POST"], "Pool": "shop", "Class": "Order", "Deadline": "10s"}
]}`

const pools = `{"Pools": [{"Name": "shop", "Service": "shop", "Floor": 1, "FalseEjectionInterval": "24h"}]}`

// node is a node process with a platform and a target.
type node struct {
	t       testing.TB
	dir     string
	callers string
	process *exec.Cmd
	ended   chan struct{}
}

// startNode starts a platform, a node with the given limits in its settings and a target, and waits until the node serves requests.
func startNode(t testing.TB, limits string) *node {
	t.Helper()
	n := &node{t: t, dir: t.TempDir(), callers: link.FreeAddress()}
	platform, targets := link.FreeAddress(), link.FreeAddress()
	settings := fmt.Sprintf(`{"Node": "n1", "AvailabilityZone": "az", "Host": "127.0.0.1", "Platform": "http://%s",
		"Listen": {"Callers": "%s", "Targets": "%s", "Peers": "%s", "Forward": "%s", "Operators": "%s"}%s}`,
		platform, n.callers, targets, link.FreeAddress(), link.FreeAddress(), link.FreeAddress(), limits)
	n.write("n1.json", settings)
	n.write("routes.json", routes)
	n.write("pools.json", pools)
	n.start("jayfold-lab", "platform", "--listen", platform)
	n.waitFor("http://" + platform + "/v1/objects?prefix=x")
	apply := exec.Command("jayfold", "tables", "apply", "--platform", "http://"+platform, "--routes", "routes.json", "--pools", "pools.json")
	apply.Dir = n.dir
	if out, err := apply.CombinedOutput(); err != nil {
		t.Fatalf("tables apply: %v\n%s", err, out)
	}
	n.process, n.ended = n.start("jayfold", "node", "--settings", "n1.json")
	n.killAbove(1 << 30)
	n.startTarget(targets)
	n.waitFor("http://" + n.callers + "/large")
	return n
}

func (n *node) write(name, content string) {
	if err := os.WriteFile(filepath.Join(n.dir, name), []byte(content), 0o600); err != nil {
		n.t.Fatal(err)
	}
}

// start starts a process, which is killed at the end of the test. The channel is closed when it has ended.
func (n *node) start(name string, args ...string) (*exec.Cmd, chan struct{}) {
	n.t.Helper()
	command := exec.Command(name, args...)
	output := new(bytes.Buffer)
	command.Dir, command.Stdout, command.Stderr = n.dir, output, output
	if err := command.Start(); err != nil {
		n.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	n.t.Cleanup(func() {
		_ = command.Process.Kill()
		<-ended
		if n.t.Failed() {
			out := output.String()
			n.t.Log(name + ":\n" + out[max(0, len(out)-4000):])
		}
	})
	return command, ended
}

func (n *node) waitFor(url string) {
	n.t.Helper()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if status(http.MethodGet, url) == http.StatusOK {
			return
		}
	}
	n.t.Fatalf("no response from %s", url)
}

// status sends a request on a connection of its own and returns the status of a complete response, or 0.
func status(method, url string) int {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, _ := http.NewRequest(method, url, strings.NewReader(""))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// startTarget serves large responses and reports to the node as a target.
func (n *node) startTarget(nodeAddress string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	large := bytes.Repeat([]byte("x"), largeBytes)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/orders" {
			_, _ = io.WriteString(w, "done")
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(large)))
		_, _ = w.Write(large)
	})}
	go func() { _ = server.Serve(listener) }()
	stop := make(chan struct{})
	n.t.Cleanup(func() {
		close(stop)
		_ = server.Close()
	})
	heartbeat := fmt.Sprintf(`{"Pool": "shop", "Address": "%s", "Slots": 200, "Connections": 400, "State": "Ready", "Instance": "1"}`,
		listener.Addr())
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			request, _ := http.NewRequest(http.MethodPut, "http://"+nodeAddress+"/v1/targets/t1", strings.NewReader(heartbeat))
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
}

// killAbove kills the node when its memory has exceeded a size, so that a fault does not fill the machine.
func (n *node) killAbove(bytes int) {
	ticker := time.NewTicker(100 * time.Millisecond)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-n.ended:
				return
			case <-ticker.C:
				if peak, err := n.peak(); err == nil && peak > bytes {
					_ = n.process.Process.Kill()
					return
				}
			}
		}
	}()
}

// peakBytes returns the largest resident size that the node's process has had.
func (n *node) peakBytes() int {
	n.t.Helper()
	peak, err := n.peak()
	if err != nil {
		n.t.Fatal(err)
	}
	return peak
}

func (n *node) peak() (int, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes << 10, nil
		}
	}
	return 0, errors.New("the node has ended")
}

// descriptors returns the number of open descriptors of the node's process.
func (n *node) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Process.Pid))
	if err != nil {
		n.t.Fatal(err)
	}
	return len(entries)
}
