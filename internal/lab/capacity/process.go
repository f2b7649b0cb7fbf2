package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"text/tabwriter"
	"time"

	"jayfold.dev/jayfold/internal/lab/link"
)

const (
	// memoryBudget and allowedCPU are what a node may take for control at the design size, in MB and in percent of a core.
	memoryBudget = 64
	cpuBudget    = 4.6
	// designRate is a node's share of 60,000 requests a second, in each of its two roles.
	designRate = 60_000 / designMembers
	// tablesChangeInterval is the time between two changes of the tables, of which each is decoded anew. The design has 370 a day.
	tablesChangeInterval = 10 * time.Second
)

// ProcessOptions say how a whole process is measured.
type ProcessOptions struct {
	// Program is the program jayfold.
	Program string
	// Members is the size of the fleet; targets, pools and routes follow from it.
	Members int
	// Rate is the number of requests a second that the node takes from callers, and of those that other nodes forward to it.
	Rate int
	// PhaseDuration is how long each phase lasts.
	PhaseDuration time.Duration
	// Cores bounds the cores that the process uses; 0 means all.
	Cores int
}

// DefaultProcessOptions returns the options that docs/CAPACITY.md is made with.
func DefaultProcessOptions(program string) ProcessOptions {
	return ProcessOptions{Program: program, Members: designMembers, Rate: designRate, PhaseDuration: 40 * time.Second}
}

// RunProcess starts one node as a process of its own, in a fleet whose other members this process stands in for, and prints its
// memory and processor time: while it is idle, with traffic in both roles, and while the tables change as well.
func RunProcess(ctx context.Context, w io.Writer, options ProcessOptions) error {
	ctx, cancel := context.WithCancel(ctx)
	r, err := newSimulatedFleet(ctx, scaledSize(options.Members))
	if err != nil {
		cancel()
		return err
	}
	defer r.stop()
	defer cancel()
	node, err := r.startNode(ctx, options)
	if err != nil {
		return err
	}
	defer node.stop()
	if err := r.waitUntilServing(ctx, node); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "one node of %d, %d targets, %d routes; %d req/s as ingress and %d as sidecar; allowed for control: %d MB, %.1f%%\n\n",
		options.Members, r.size.targets, r.size.routes, options.Rate, options.Rate, memoryBudget, cpuBudget)
	fmt.Fprintln(table, "phase\tmemory, mean MB\tmost MB\tCPU, % of a core\trequests answered\tattempts answered")
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	for _, phase := range []struct {
		name  string
		begin func()
	}{
		{"idle", func() {}},
		{"traffic", func() { r.startLoad(traffic, node, options.Rate) }},
		{"traffic and changing tables", func() { go r.changeTablesRepeatedly(traffic) }},
	} {
		phase.begin()
		asked, forwarded := r.answered.Load(), r.forwarded.Load()
		u, err := measureUsage(ctx, node.command.Process.Pid, options.PhaseDuration)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.1f\t%d\t%d\n",
			phase.name, u.meanMemory, u.maxMemory, u.cpu, r.answered.Load()-asked, r.forwarded.Load()-forwarded)
	}
	return table.Flush()
}

// measuredNode is the process under measurement with its addresses.
type measuredNode struct {
	command                                     *exec.Cmd
	dir                                         string
	callers, targets, peers, forward, operators string
}

// startNode writes the settings of the first member and starts its process.
func (r *simulatedFleet) startNode(ctx context.Context, options ProcessOptions) (*measuredNode, error) {
	dir, err := os.MkdirTemp("", "jayfold-whole")
	if err != nil {
		return nil, err
	}
	n := &measuredNode{
		dir: dir, callers: link.FreeAddress(), targets: link.FreeAddress(), peers: link.FreeAddress(),
		forward: link.FreeAddress(), operators: link.FreeAddress(),
	}
	path := filepath.Join(dir, "settings.json")
	content := fmt.Sprintf(`{"Node": "%s", "AvailabilityZone": "%s", "Host": "127.0.0.1", "Platform": "%s", "LogLevel": "warn",
		"Listen": {"Callers": "%s", "Targets": "%s", "Peers": "%s", "Forward": "%s", "Operators": "%s"}}`,
		r.self.Node, r.self.AvailabilityZone, r.platformURL, n.callers, n.targets, n.peers, n.forward, n.operators)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		return nil, err
	}
	n.command = exec.CommandContext(ctx, options.Program, "node", "--settings", path)
	n.command.Stderr = os.Stderr
	if options.Cores > 0 {
		n.command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", options.Cores))
	}
	return n, n.command.Start()
}

// stop ends the process and removes its files.
func (n *measuredNode) stop() {
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
	_ = os.RemoveAll(n.dir)
}
