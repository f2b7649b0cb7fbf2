package ejection

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const trialGate = admission.GateTrial

// TestMain fixes the seed and the size of the stateful fuzz unless the command line or the environment gives others.
func TestMain(m *testing.M) {
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": "1200", "rapid.steps": "100"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestEjectionsNeverBreakTheFloor guards against ejections that leave fewer than Floor healthy targets in service, and
// against ejected targets that never return.
func TestEjectionsNeverBreakTheFloor(t *testing.T) {
	steps, ejections := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 5).Draw(t, "hosts"), rapid.IntRange(1, 2).Draw(t, "perHost"),
			rapid.IntRange(1, 4).Draw(t, "floor"))
		w.random = rapid.Uint64().Draw(t, "random")
		actions := w.actions()
		actions[""] = func(t *rapid.T) {
			steps++
			w.checkFloor(t)
		}
		t.Repeat(actions)
		ejections += w.ejections
		w.heal()
		w.checkFloor(t)
		w.checkReturn(t)
	})
	t.Logf("%d steps, %d ejections", steps, ejections)
}

func (w *world) checkFloor(t *rapid.T) {
	for _, s := range w.servers {
		if !w.ejected(s) {
			continue
		}
		if n := w.countFor(s, w.standing); n < w.floorOf(s) {
			t.Fatalf("%s is ejected and %d healthy targets are in service, floor %d", s.id, n, w.floorOf(s))
		}
		if n := w.countFor(s, w.committed); n < w.floorOf(s) {
			t.Fatalf("%s is ejected and %d targets are committed to it, floor %d", s.id, n, w.floorOf(s))
		}
	}
	if len(w.faults) > 0 {
		t.Fatal(w.faults[0])
	}
}

// floorOf returns the floor in force at the node of s: a node that had no event since a change has not seen it.
func (w *world) floorOf(s *server) int { return max(s.host.floor, 1) }

// repair ends all faults but failing targets.
func (w *world) repair() {
	clear(w.cut)
	clear(w.slow)
	for _, h := range w.hosts {
		h.paused = false
		if h.dead {
			w.restart(h)
		}
	}
	for _, s := range w.servers {
		s.draining, s.gone = false, false
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.repair()
	for _, s := range w.servers {
		s.failing = false
	}
	w.run(time.Second, 100*time.Millisecond)
}

// checkReturn expects every ejected target to get its trials, and to return when they succeed.
func (w *world) checkReturn(t *rapid.T) {
	anyEjected := func() bool {
		for _, s := range w.servers {
			if w.ejected(s) {
				return true
			}
		}
		return false
	}
	for end := w.now + maxWait + time.Minute; anyEjected() && w.now < end; {
		w.run(time.Second, time.Second)
		w.checkFloor(t)
		for _, s := range w.servers {
			w.recover(s)
		}
	}
	if anyEjected() {
		t.Fatal("a recovered target has not returned although all faults have ended")
	}
}

// actions are everything that can happen to the fleet.
func (w *world) actions() map[string]func(*rapid.T) {
	server := func(t *rapid.T) *server { return w.servers[rapid.IntRange(0, len(w.servers)-1).Draw(t, "server")] }
	host := func(t *rapid.T) *host { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
	packet := func(t *rapid.T) int {
		if len(w.network) == 0 {
			t.Skip("no packet")
		}
		return rapid.IntRange(0, len(w.network)-1).Draw(t, "packet")
	}
	advance := func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) }
	return map[string]func(*rapid.T){
		"advance":   advance,
		"run":       func(*rapid.T) { w.run(time.Second, 100*time.Millisecond) },
		"exchange":  func(*rapid.T) { w.exchange() },
		"deliver":   func(t *rapid.T) { w.deliver(packet(t)) },
		"drop":      func(t *rapid.T) { w.drop(packet(t)) },
		"repeat":    func(t *rapid.T) { w.network = append(w.network, w.network[packet(t)]) },
		"fail":      func(t *rapid.T) { w.fail(server(t)) },
		"fail more": func(*rapid.T) { w.failAgain() },
		"fail alone": func(t *rapid.T) {
			s := server(t)
			for _, other := range w.servers {
				other.failing = other.failing && other == s
			}
			w.fail(s)
			w.exchange()
			w.advance(100 * time.Millisecond)
		},
		"repair":  func(*rapid.T) { w.repair() },
		"recover": func(t *rapid.T) { w.recover(server(t)) },
		"relapse": func(t *rapid.T) {
			s := server(t)
			w.step(s.host, func(st State, ctx Context) (State, []effect.Effect) { return st.TargetRelapsed(ctx, s.id) })
		},
		"cut": func(t *rapid.T) {
			link := [2]fleet.NodeID{host(t).id, host(t).id}
			w.cut[link] = !w.cut[link]
		},
		"pause": func(t *rapid.T) {
			h := host(t)
			h.paused = !h.paused
		},
		"slow": func(t *rapid.T) {
			link := [2]fleet.NodeID{host(t).id, host(t).id}
			w.slow[link] = !w.slow[link]
		},
		"long pause": func(t *rapid.T) {
			h := host(t)
			w.failOn(h)
			w.deliverAll()
			h.paused = true
			w.run(time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds"))*time.Second, time.Second)
			h.paused = false
			w.exchange()
		},
		"die":     func(t *rapid.T) { host(t).dead = true },
		"restart": func(t *rapid.T) { w.restart(host(t)) },
		"drain": func(t *rapid.T) {
			s := server(t)
			s.draining = !s.draining
		},
		"vanish": func(t *rapid.T) {
			s := server(t)
			s.gone = !s.gone
		},
		"floor": func(t *rapid.T) { w.floor = rapid.IntRange(1, 4).Draw(t, "floor") },
	}
}

// failOn lets the detector of the first target of a host judge it failing.
func (w *world) failOn(h *host) {
	for _, s := range w.servers {
		if s.host == h {
			w.fail(s)
			return
		}
	}
}

// failAgain lets the detectors of all failing targets judge again.
func (w *world) failAgain() {
	for _, s := range w.servers {
		if s.failing {
			w.fail(s)
		}
	}
}
