// Package experiment runs the production decision code in seeded simulations and on a testbed, and prints text tables.
//
// # Usage
//
//	for _, e := range experiment.All {
//		err := e.Run(os.Stdout, experiment.Options{Seed: 1})
//	}
//
// An experiment prints its seed with its results; a simulation gives the same results for the same seed. It returns an error that
// names each goal that was missed. The short form runs fewer repetitions and checks the same goals.
package experiment

import (
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
)

// Options configures an experiment.
type Options struct {
	Seed  uint64
	Short bool
}

// Experiment is a named experiment that can be run from the command line.
type Experiment struct {
	Name string
	// Description states in a few words what the experiment measures.
	Description string
	Run         func(io.Writer, Options) error
}

// All lists the experiments, sorted by name.
var All = []Experiment{
	{Name: "detection", Description: "time to detect a failing target, and false ejections", Run: Detection},
	{Name: "latency", Description: "latency that ingress and sidecar add to a lookup", Run: Latency},
	{Name: "load", Description: "worst-case loads under jayfold and under baseline policies", Run: Load},
	{Name: "overload", Description: "goodput and retries under overload", Run: Overload},
	{Name: "placement", Description: "both ways of choosing targets under uneven costs, targets and zones", Run: Placement},
	{Name: "tables", Description: "time until a change is in force everywhere", Run: Tables},
	{Name: "traffic-after-fault", Description: "requests that reach a target after it starts to fail", Run: TrafficAfterFault},
}

// Find returns the experiment with the given name.
func Find(name string) (Experiment, bool) {
	for _, e := range All {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}

// newRandom returns the random generator of one repetition. It depends only on the seed and the index of the repetition, so that
// repetitions can run in any order.
func newRandom(seed uint64, repetition int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(repetition)))
}

// parallel runs count repetitions on all cores and returns their results in order.
func parallel[T any](count int, run func(repetition int) T) []T {
	results := make([]T, count)
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := int(next.Add(1)) - 1; i < count; i = int(next.Add(1)) - 1 {
				results[i] = run(i)
			}
		})
	}
	workers.Wait()
	return results
}
