package tables_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// fleetSize is the number of nodes at the design size.
	fleetSize = 540
	// inForceWithin is the time within which a change must be in force on every node.
	inForceWithin = 6 * time.Second
	// maxReadsPerSecond is the rate of reads that the platform accepts.
	maxReadsPerSecond = 2000
)

func newRandom(seed uint64) func() uint64 { return rand.New(rand.NewPCG(seed, 0)).Uint64 }

// propagation holds the measurements of one change.
type propagation struct {
	duration time.Duration
	// reads counts the calls to the platform; peak is the maximum within 100 ms.
	reads int
	peak  int
}

// measure runs the fleet until every node has the newest revision.
func measure(sim *simulation) propagation {
	var p propagation
	started, before := sim.now, sim.reads
	for sim.behind() > 0 && sim.now.Sub(started) < time.Minute {
		reads := sim.reads
		sim.run(100 * time.Millisecond)
		p.peak = max(p.peak, sim.reads-reads)
	}
	p.duration, p.reads = sim.now.Sub(started), sim.reads-before
	return p
}

// TestPropagation guards against a change that reaches nodes late or makes all nodes call the platform at once.
func TestPropagation(t *testing.T) {
	started := func() *simulation {
		sim := newSimulation(fleetSize, newRandom(1))
		sim.apply()
		sim.run(10 * time.Second)
		is.New(t).Equal(sim.behind(), 0)
		return sim
	}

	t.Run("a change", func(t *testing.T) {
		sim := started()
		for range 3 {
			sim.apply()
			p := measure(sim)
			t.Logf("seed 1: in force after %v, %d reads, at most %d within 100 ms", p.duration, p.reads, p.peak)
			is.New(t).True(p.duration <= inForceWithin)
			is.New(t).True(p.peak < maxReadsPerSecond/10)
		}
	})

	t.Run("a change made at the end of an outage", func(t *testing.T) {
		sim := started()
		sim.setOutage(true)
		sim.run(time.Minute)
		sim.head++
		sim.setOutage(false)
		p := measure(sim)
		t.Logf("seed 1: in force after %v, %d reads, at most %d within 100 ms", p.duration, p.reads, p.peak)
		is.New(t).True(p.duration <= inForceWithin)
		is.New(t).True(p.peak < maxReadsPerSecond/10)
	})

	for name, outage := range map[string]time.Duration{
		"a change made as the platform is restored from a copy":           1500 * time.Millisecond,
		"a change after a restoration that the connections have outlived": 0,
	} {
		t.Run(name, func(t *testing.T) {
			sim := started()
			for range 20 {
				sim.apply()
				sim.run(200 * time.Millisecond)
			}
			sim.run(10 * time.Second)
			if outage > 0 {
				sim.setOutage(true)
				sim.run(outage)
				sim.outage = false
			}
			sim.restore(15)
			p := measure(sim)
			t.Logf("seed 1: in force after %v, %d reads, at most %d within 100 ms", p.duration, p.reads, p.peak)
			is.New(t).True(p.duration <= inForceWithin)
			is.New(t).True(p.peak < maxReadsPerSecond/10)
		})
	}

	t.Run("a node that starts during an outage", func(t *testing.T) {
		sim := newSimulation(3, newRandom(1))
		sim.apply()
		sim.run(time.Second)
		sim.setOutage(true)
		sim.nodes[2] = newSimulation(1, newRandom(1)).nodes[0]
		sim.watches[2] = 0
		is.New(t).True(measure(sim).duration <= inForceWithin)
	})
}
