// Package experiment measures the real decision code with seeded simulations and prints text tables.
//
// # Usage
//
//	for _, e := range experiment.All {
//		err := e.Run(os.Stdout, experiment.Options{Seed: 1})
//	}
//
// An experiment prints the seed with its figures; the same seed gives the same figures. It returns an error that names
// each goal of the design page that was missed. The short form runs fewer repetitions and checks the same goals.
package experiment

import (
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
)

// Options say how an experiment runs.
type Options struct {
	Seed  uint64
	Short bool
}

// Experiment is one experiment of the command line.
type Experiment struct {
	Name string
	// Description is what the experiment measures, in a few words.
	Description string
	Run         func(io.Writer, Options) error
}

// All lists the experiments in name order.
var All = []Experiment{
	{Name: "detection", Description: "time to detect a failing target, and false ejections", Run: Detection},
	{Name: "latency", Description: "what ingress and sidecar add to a lookup", Run: Latency},
	{Name: "load", Description: "the worst loads under the nodes' decisions and under baselines", Run: Load},
	{Name: "overload", Description: "goodput and retries beyond the capacity", Run: Overload},
	{Name: "tables", Description: "time until a change is in force everywhere", Run: Tables},
	{Name: "traffic-after-fault", Description: "requests that reach a target after it started to fail", Run: TrafficAfterFault},
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

// newRandom returns the newRandom numbers of one repetition. They depend on nothing else, so that repetitions can run in any
// order.
func newRandom(seed uint64, repetition int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(repetition)))
}

// parallel runs count repetitions over all cores and returns their results in order.
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
