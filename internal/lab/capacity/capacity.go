// Package capacity measures what a node costs as the fleet grows, and fits a line to each cost.
//
// # Usage
//
//	err := capacity.Run(ctx, os.Stdout, capacity.DefaultOptions())
//
// It prints five text tables: CPU per event of the reducer, memory per member, target and route, encoded bytes per message,
// and the control traffic and CPU of nodes that run in this process and talk over loopback. Each row has the measured
// points, the intercept and the slope of the line, its value at the design size and the residual, so that a reader can
// judge how far the line can be trusted beyond the measured sizes.
package capacity

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"
)

// designMembers is the design size in nodes; targets, pools and routes follow from designs.
const designMembers = 540

// Options say what is measured.
type Options struct {
	// Seed draws the randomness of the reducer.
	Seed uint64
	// Members are the sizes at which the reducer alone is measured.
	Members []int
	// Steps is the number of steps that are timed together.
	Steps int
	// Nodes are the sizes at which running nodes are measured; empty leaves them out.
	Nodes []int
	// Changes are the changed member records per second in the whole fleet of the largest size of Nodes.
	Changes []float64
	// Duration is how long running nodes are measured at each size.
	Duration time.Duration
	// WarmUpPerNode times the number of nodes is the wait before. The records of a fleet that starts at once keep its gossip at the
	// bound of 64 targets a message for about 2 s per node.
	WarmUpPerNode time.Duration
}

// DefaultOptions returns the options that docs/CAPACITY.md is made with.
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

// Run measures and prints. It takes about eight minutes with the default options.
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

// cpuTime returns the CPU time that this process has used, with that of the garbage collector.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
