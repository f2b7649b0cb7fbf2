// Package hostile runs the real node beside callers that exceed its limits.
//
// The tests run one at a time. They check that the process stays alive, that its memory and descriptors stay within a bound, and that an
// ordinary request is answered while the hostile callers are still connected. They check no times and no share of served requests.
package hostile

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

const (
	// smallestHost is the memory of the smallest host, and smallestDescriptors the number of its descriptors.
	smallestHost        = 184 << 20
	smallestDescriptors = 4100
	// pressure is how long the callers send before the node is examined.
	pressure = 4 * time.Second
	// answerTimeout is how long an ordinary request is repeated.
	answerTimeout = 15 * time.Second
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs without the race detector, which multiplies their memory, and runs the tests.
func buildAndRun(m *testing.M) int {
	bin, err := os.MkdirTemp("", "jayfold-hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(bin) }()
	command := exec.Command("go", "build", "-race=false", "-o", bin, "jayfold.dev/jayfold/cmd/jayfold", "jayfold.dev/jayfold/cmd/jayfold-lab")
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

// TestDefaultLimits guards against a node that a few hundred callers of one kind fill beyond the memory of the smallest host.
func TestDefaultLimits(t *testing.T) {
	for name, behave := range callers {
		t.Run(name, func(t *testing.T) { withstand(t, "", behave, 300, smallestHost) })
	}
}

// TestLoweredLimits guards against limits that do not follow the settings.
func TestLoweredLimits(t *testing.T) {
	for name, behave := range callers {
		t.Run(name, func(t *testing.T) { withstand(t, `, "Limits": {"Memory": 67108864}`, behave, 48, 64<<20) })
	}
}

// withstand runs callers of one kind against a node and checks what the package promises.
func withstand(t *testing.T, limits string, behave caller, connections, bound int) {
	n := startNode(t, limits)
	var open []net.Conn
	var sending sync.WaitGroup
	for range connections {
		c, err := net.Dial("tcp", n.callers)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
		sending.Go(func() { behave(c) })
	}
	defer sending.Wait()
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	time.Sleep(pressure)
	answered := n.answers()
	select {
	case <-n.ended:
		t.Fatal("the node has ended")
	default:
	}
	t.Logf("peak %d MB of %d, %d descriptors", n.peakBytes()>>20, bound>>20, n.descriptors())
	if !answered {
		t.Error("an ordinary request was not answered")
	}
	if peak := n.peakBytes(); peak > bound {
		t.Errorf("the node used %d MB, more than %d MB", peak>>20, bound>>20)
	}
	if descriptors := n.descriptors(); descriptors > smallestDescriptors {
		t.Errorf("the node has %d descriptors", descriptors)
	}
}

// answers reports whether the node answers an ordinary request.
func (n *node) answers() bool {
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if status(http.MethodGet, "http://"+n.callers+"/large") == http.StatusOK {
			return true
		}
	}
	return false
}
