package capacity

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFitFindsTheLine guards against a fitted line that does not pass through its points.
func TestFitFindsTheLine(t *testing.T) {
	is := is.New(t)
	s := series{}
	for x := range 5 {
		s = s.withPoint(float64(x), 3+2*float64(x))
	}
	l := s.fit()
	is.True(l.residual < 1e-9)
	is.True(l.at(100) > 203-1e-9 && l.at(100) < 203+1e-9)
	is.True(s.withPoint(5, 20).fit().residual > 0.1)
}

// TestEverySectionIsMeasured guards against a section that no longer gives results after a change in internal/core: each section
// must print a row.
func TestEverySectionIsMeasured(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	options := Options{
		Members: []int{6, 12, 18, 24}, Steps: 20, Nodes: []int{2, 3}, Changes: []float64{0, 2},
		Duration: time.Second, WarmUpPerNode: time.Second,
	}
	is.NoErr(Run(context.Background(), &b, options))
	for _, row := range []string{"request at the ingress", "tick", "routes", "Ping, records of dead", "sent", "% of a core"} {
		is.True(strings.Contains(b.String(), row))
	}
}

// TestRunningNodesCommunicate guards against a measurement of nodes that do not communicate: they must exchange messages
// while they are measured.
func TestRunningNodesCommunicate(t *testing.T) {
	is := is.New(t)
	n, err := startNodes(context.Background(), 3)
	is.NoErr(err)
	defer n.stop()
	n.changeRecords(context.Background(), 6*time.Second, 0)
	c := n.measure(context.Background(), 3*time.Second, 0)
	is.True(c.sent > 100 && c.received > 100)
	is.True(c.connections >= 1)
}

// TestWholeProcessIsMeasured guards against a simulated fleet that the measured process does not communicate with: the process
// must serve every pool, and it must serve requests as ingress and attempts as sidecar in each phase with traffic.
func TestWholeProcessIsMeasured(t *testing.T) {
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "jayfold")
	out, err := exec.Command("go", "build", "-o", program, "jayfold.dev/jayfold/cmd/jayfold").CombinedOutput()
	t.Log(string(out))
	is.NoErr(err)
	var b bytes.Buffer
	is.NoErr(RunProcess(context.Background(), &b, ProcessOptions{
		Program: program, Members: 30, Rate: 20, PhaseDuration: 2 * time.Second,
	}))
	rows := strings.Split(strings.TrimSpace(b.String()), "\n")[3:]
	is.Equal(len(rows), 3)
	for i, row := range rows {
		fields := strings.Fields(row)
		served := fields[len(fields)-2:]
		is.Equal(served[0] != "0", i > 0)
		is.Equal(served[1] != "0", i > 0)
	}
}
