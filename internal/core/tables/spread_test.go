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
	// inForceWithin is the bound on a change to be in force everywhere.
	inForceWithin = 6 * time.Second
	// readsPerSecond is what the platform accepts.
	readsPerSecond = 2000
)

func newRandom(seed uint64) func() uint64 { return rand.New(rand.NewPCG(seed, 0)).Uint64 }

// spread is what one change cost.
type spread struct {
	took time.Duration
	// reads counts all calls on the platform, peak the most of them within 100 ms.
	reads int
	peak  int
}

// measure lets time pass until no node is behind.
func measure(w *world) spread {
	var s spread
	started, before := w.now, w.reads
	for w.behind() > 0 && w.now.Sub(started) < time.Minute {
		reads := w.reads
		w.run(100 * time.Millisecond)
		s.peak = max(s.peak, w.reads-reads)
	}
	s.took, s.reads = w.now.Sub(started), w.reads-before
	return s
}

// TestSpread guards against a change that comes late or brings all nodes to the platform at once.
func TestSpread(t *testing.T) {
	started := func() *world {
		w := newWorld(fleetSize, newRandom(1))
		w.apply()
		w.run(10 * time.Second)
		is.New(t).Equal(w.behind(), 0)
		return w
	}

	t.Run("of a change", func(t *testing.T) {
		w := started()
		for range 3 {
			w.apply()
			s := measure(w)
			t.Logf("seed 1: in force after %v, %d reads, at most %d within 100 ms", s.took, s.reads, s.peak)
			is.New(t).True(s.took <= inForceWithin)
			is.New(t).True(s.peak < readsPerSecond/10)
		}
	})

	t.Run("of a change that the copy shows late", func(t *testing.T) {
		w := started()
		w.copyLag = 20 * time.Second
		for range 3 {
			w.apply()
			s := measure(w)
			t.Logf("seed 1: in force after %v, %d reads, at most %d within 100 ms", s.took, s.reads, s.peak)
			is.New(t).True(s.took <= inForceWithin)
			w.run(w.copyLag)
		}
	})

	t.Run("of a change made at the end of an outage", func(t *testing.T) {
		w := started()
		w.setOutage(true)
		w.run(time.Minute)
		w.head++
		w.setOutage(false)
		s := measure(w)
		t.Logf("seed 1: in force after %v, %d reads, at most %d within 100 ms", s.took, s.reads, s.peak)
		is.New(t).True(s.took <= inForceWithin)
		is.New(t).True(s.peak < readsPerSecond/10)
	})

	t.Run("to a node that starts during an outage", func(t *testing.T) {
		w := newWorld(3, newRandom(1))
		w.apply()
		w.run(time.Second)
		w.setOutage(true)
		w.nodes[2] = newWorld(1, newRandom(1)).nodes[0]
		w.watches[2] = 0
		is.New(t).True(measure(w).took <= inForceWithin)
	})
}
