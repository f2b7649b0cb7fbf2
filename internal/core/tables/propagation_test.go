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

// propagation is the measured course of one change.
type propagation struct {
	duration time.Duration
	// reads counts all calls to the platform; peak is the maximum within 100 ms.
	reads int
	peak  int
}

// measure runs the fleet until every node has the newest revision.
func measure(w *world) propagation {
	var p propagation
	started, before := w.now, w.reads
	for w.behind() > 0 && w.now.Sub(started) < time.Minute {
		reads := w.reads
		w.run(100 * time.Millisecond)
		p.peak = max(p.peak, w.reads-reads)
	}
	p.duration, p.reads = w.now.Sub(started), w.reads-before
	return p
}

// TestPropagation guards against a change that reaches nodes late or makes all nodes call the platform at once.
func TestPropagation(t *testing.T) {
	started := func() *world {
		w := newWorld(fleetSize, newRandom(1))
		w.apply()
		w.run(10 * time.Second)
		is.New(t).Equal(w.behind(), 0)
		return w
	}

	t.Run("a change", func(t *testing.T) {
		w := started()
		for range 3 {
			w.apply()
			p := measure(w)
			t.Logf("seed 1: in force after %v, %d reads, at most %d within 100 ms", p.duration, p.reads, p.peak)
			is.New(t).True(p.duration <= inForceWithin)
			is.New(t).True(p.peak < maxReadsPerSecond/10)
		}
	})

	t.Run("a change that the copy shows late", func(t *testing.T) {
		w := started()
		w.copyLag = 20 * time.Second
		for range 3 {
			w.apply()
			p := measure(w)
			t.Logf("seed 1: in force after %v, %d reads, at most %d within 100 ms", p.duration, p.reads, p.peak)
			is.New(t).True(p.duration <= inForceWithin)
			w.run(w.copyLag)
		}
	})

	t.Run("a change made at the end of an outage", func(t *testing.T) {
		w := started()
		w.setOutage(true)
		w.run(time.Minute)
		w.head++
		w.setOutage(false)
		p := measure(w)
		t.Logf("seed 1: in force after %v, %d reads, at most %d within 100 ms", p.duration, p.reads, p.peak)
		is.New(t).True(p.duration <= inForceWithin)
		is.New(t).True(p.peak < maxReadsPerSecond/10)
	})

	t.Run("a node that starts during an outage", func(t *testing.T) {
		w := newWorld(3, newRandom(1))
		w.apply()
		w.run(time.Second)
		w.setOutage(true)
		w.nodes[2] = newWorld(1, newRandom(1)).nodes[0]
		w.watches[2] = 0
		is.New(t).True(measure(w).duration <= inForceWithin)
	})
}
