// Package capacity measures what a node costs as the fleet grows, and fits a line to each cost.
//
// # Usage
//
//	err := capacity.Run(ctx, os.Stdout, capacity.DefaultOptions())
//	err = capacity.RunProcess(ctx, os.Stdout, capacity.DefaultProcessOptions("jayfold"))
//
// Run prints five text tables: the CPU time per step of the reducer; the heap by members, targets and routes; the encoded bytes
// per message; and two tables with the control traffic and the CPU usage of nodes that run in this process and communicate over
// loopback. Each row has the measured points, the intercept and slope of the line, its value at the design size (for messages, at
// the largest number of records), and the residual, which shows how far the extrapolation can be trusted.
//
// RunProcess prints the memory and CPU usage of one node that runs as a separate process in a simulated fleet.
package capacity

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"
)

// designMembers is the number of nodes at the design size, the fleet size for which the system is designed.
const designMembers = 540

// Options selects what is measured.
type Options struct {
	// Seed is the seed of the random numbers that the reducer gets.
	Seed uint64
	// Members lists the fleet sizes at which the reducer alone is measured.
	Members []int
	// Steps is the least number of reducer steps in one timed batch.
	Steps int
	// Nodes lists the fleet sizes at which running nodes are measured; if it is empty, they are not measured.
	Nodes []int
	// Changes lists the rates of changed member records, per second and in the whole fleet, at which the largest fleet of Nodes is
	// measured.
	Changes []float64
	// Duration is the time for which running nodes are measured at each size and at each rate of changes.
	Duration time.Duration
	// WarmUpPerNode is the warm-up time before the measurement, per node of the fleet. When all nodes start at once, their gossip
	// messages carry the maximum of 64 targets for about 2 s per node.
	WarmUpPerNode time.Duration
}

// DefaultOptions returns the options of the measurements in docs/CAPACITY.md.
func DefaultOptions() Options {
	return Options{
		Seed:          1,
		Members:       []int{135, 270, 405, 540, 810},
		Steps:         1000,
		Nodes:         []int{6, 12, 18, 24},
		Changes:       []float64{0, 0.5, 1, 2},
		Duration:      20 * time.Second,
		WarmUpPerNode: 2500 * time.Millisecond,
	}
}

// Run takes the measurements and prints the tables. It takes about eight minutes with the default options.
func Run(ctx context.Context, w io.Writer, options Options) error {
	_, err := fmt.Fprintf(w, "seed %d, design size %d nodes\n", options.Seed, designMembers)
	if err != nil {
		return err
	}
	sections := []func(context.Context, Options) ([]series, string, error){
		reducerCost,
		memoryCost,
		messageCost,
		nodeCost,
		changeCost,
	}
	for _, section := range sections {
		measured, title, err := section(ctx, options)
		if err != nil {
			return err
		}
		if err := printTable(w, title, measured); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// cpuTime returns the CPU time of this process, including that of the garbage collector.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
