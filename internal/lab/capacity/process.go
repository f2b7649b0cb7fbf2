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
	// memoryBudget and cpuBudget are the resources that a node may use for control at the design size, in MB and in percent of a
	// core.
	memoryBudget = 64
	cpuBudget    = 4.6
	// designRate is a node's share of 60,000 requests per second, as ingress and again as sidecar.
	designRate = 60_000 / designMembers
	// tablesChangeInterval is the time between two changes of the tables. At the 370 changes a day that the design assumes, most
	// phases would have none. The node decodes the whole tables for each change.
	tablesChangeInterval = 10 * time.Second
)

// ProcessOptions configures the measurement of a node process.
type ProcessOptions struct {
	// Program is the path of the program jayfold.
	Program string
	// Members is the number of nodes of the fleet. The numbers of targets, pools and routes are proportional to it.
	Members int
	// Rate is the number of requests per second that callers send to the node, and the number that other nodes forward to it.
	Rate int
	// PhaseDuration is the duration of each of the three phases.
	PhaseDuration time.Duration
	// Cores is the number of cores that the process may use; 0 means all.
	Cores int
}

// DefaultProcessOptions returns the options of the measurements in docs/CAPACITY.md.
func DefaultProcessOptions(program string) ProcessOptions {
	return ProcessOptions{Program: program, Members: designMembers, Rate: designRate, PhaseDuration: 40 * time.Second}
}

// RunProcess starts one node as a separate process in a simulated fleet and prints its memory and CPU usage in three phases:
// idle, with traffic as ingress and sidecar, and with traffic while the tables change.
func RunProcess(ctx context.Context, w io.Writer, options ProcessOptions) error {
	ctx, cancel := context.WithCancel(ctx)
	s, err := newSimulatedFleet(ctx, scaledSize(options.Members))
	if err != nil {
		cancel()
		return err
	}
	defer s.stop()
	defer cancel()
	node, err := s.startNode(ctx, options)
	if err != nil {
		return err
	}
	defer node.stop()
	if err := s.waitUntilServing(ctx, node); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "one node of %d, %d targets, %d routes; %d req/s as ingress and %d as sidecar; control budget: %d MB, %.1f%%\n\n",
		options.Members, s.size.targets, s.size.routes, options.Rate, options.Rate, memoryBudget, cpuBudget)
	fmt.Fprintln(table, "phase\tmemory, mean MB\tmax MB\tCPU, % of a core\trequests served\tattempts served")
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	for _, phase := range []struct {
		name  string
		begin func()
	}{
		{"idle", func() {}},
		{"traffic", func() { s.startLoad(trafficCtx, node, options.Rate) }},
		{"traffic and changing tables", func() { go s.changeTablesRepeatedly(trafficCtx) }},
	} {
		phase.begin()
		requests, attempts := s.servedRequests.Load(), s.servedAttempts.Load()
		u, err := measureUsage(ctx, node.command.Process.Pid, options.PhaseDuration)
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.1f\t%d\t%d\n",
			phase.name, u.meanMemory, u.maxMemory, u.cpu, s.servedRequests.Load()-requests, s.servedAttempts.Load()-attempts)
	}
	return table.Flush()
}

// measuredNode is the measured process, with its temporary directory and the addresses on which it listens.
type measuredNode struct {
	command                                                                        *exec.Cmd
	dir                                                                            string
	callersAddress, targetsAddress, peersAddress, forwardAddress, operatorsAddress string
}

// startNode writes the settings of the measured node and starts its process.
func (s *simulatedFleet) startNode(ctx context.Context, options ProcessOptions) (*measuredNode, error) {
	dir, err := os.MkdirTemp("", "jayfold-whole")
	if err != nil {
		return nil, err
	}
	n := &measuredNode{
		dir: dir, callersAddress: link.FreeAddress(), targetsAddress: link.FreeAddress(), peersAddress: link.FreeAddress(),
		forwardAddress: link.FreeAddress(), operatorsAddress: link.FreeAddress(),
	}
	path := filepath.Join(dir, "settings.json")
	content := fmt.Sprintf(`{"Node": "%s", "AvailabilityZone": "%s", "Host": "127.0.0.1", "Platform": "%s", "LogLevel": "warn",
		"Listen": {"Callers": "%s", "Targets": "%s", "Peers": "%s", "Forward": "%s", "Operators": "%s"}}`,
		s.self.Node, s.self.AvailabilityZone, s.platformURL,
		n.callersAddress, n.targetsAddress, n.peersAddress, n.forwardAddress, n.operatorsAddress)
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

// stop kills the process and removes its files.
func (n *measuredNode) stop() {
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
	_ = os.RemoveAll(n.dir)
}
