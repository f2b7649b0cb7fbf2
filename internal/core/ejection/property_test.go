package ejection

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestMain sets the seed and the size of the stateful property test unless the command line sets others.
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

// TestEjectionsNeverBreakTheFloor guards against ejections that leave fewer than Floor healthy targets in service, and against
// ejected targets that never return.
func TestEjectionsNeverBreakTheFloor(t *testing.T) {
	steps, ejections := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(2, 5).Draw(t, "hosts"), rapid.IntRange(1, 2).Draw(t, "perHost"),
			rapid.IntRange(1, 4).Draw(t, "floor"))
		c.random = rapid.Uint64().Draw(t, "random")
		actions := c.actions()
		actions[""] = func(t *rapid.T) {
			steps++
			c.checkFloor(t)
		}
		t.Repeat(actions)
		ejections += c.ejections
		c.heal()
		c.checkFloor(t)
		c.checkReturn(t)
	})
	t.Logf("%d steps, %d ejections", steps, ejections)
}

func (c *cluster) checkFloor(t *rapid.T) {
	for _, target := range c.targets {
		if !c.ejected(target) {
			continue
		}
		if n := c.countTargets(target, c.servesOrCommitted); n < c.floorOf(target) {
			t.Fatalf("%s is ejected and %d healthy targets are in service, floor %d", target.id, n, c.floorOf(target))
		}
		if n := c.countTargets(target, c.isCommitted); n < c.floorOf(target) {
			t.Fatalf("%s is ejected and %d targets have granted it a lease, floor %d", target.id, n, c.floorOf(target))
		}
	}
	if len(c.violations) > 0 {
		t.Fatal(c.violations[0])
	}
}

// floorOf returns the floor in force at the target's node. A node that has had no event since a change still applies the old
// floor.
func (c *cluster) floorOf(target *target) int { return max(target.host.floor, 1) }

// repair ends all faults except failing targets.
func (c *cluster) repair() {
	clear(c.cut)
	clear(c.slow)
	for _, h := range c.hosts {
		h.paused = false
		if h.dead {
			c.restart(h)
		}
	}
	for _, target := range c.targets {
		target.draining, target.gone = false, false
	}
}

// heal ends all faults.
func (c *cluster) heal() {
	c.repair()
	for _, target := range c.targets {
		target.failing = false
	}
	c.run(time.Second, 100*time.Millisecond)
}

// checkReturn checks that every ejected target gets its trials and returns to service when they succeed.
func (c *cluster) checkReturn(t *rapid.T) {
	anyEjected := func() bool {
		for _, target := range c.targets {
			if c.ejected(target) {
				return true
			}
		}
		return false
	}
	for end := c.now + maxTrialDelay + time.Minute; anyEjected() && c.now < end; {
		c.run(time.Second, time.Second)
		c.checkFloor(t)
		for _, target := range c.targets {
			c.recover(target)
		}
	}
	if anyEjected() {
		t.Fatal("a recovered target has not returned to service although all faults have ended")
	}
}

// actions returns the events and faults that the test draws from.
func (c *cluster) actions() map[string]func(*rapid.T) {
	target := func(t *rapid.T) *target { return c.targets[rapid.IntRange(0, len(c.targets)-1).Draw(t, "target")] }
	host := func(t *rapid.T) *host { return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")] }
	packet := func(t *rapid.T) int {
		if len(c.network) == 0 {
			t.Skip("no packet")
		}
		return rapid.IntRange(0, len(c.network)-1).Draw(t, "packet")
	}
	advance := func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) }
	return map[string]func(*rapid.T){
		"advance":   advance,
		"run":       func(*rapid.T) { c.run(time.Second, 100*time.Millisecond) },
		"exchange":  func(*rapid.T) { c.exchange() },
		"deliver":   func(t *rapid.T) { c.deliver(packet(t)) },
		"drop":      func(t *rapid.T) { c.drop(packet(t)) },
		"repeat":    func(t *rapid.T) { c.network = append(c.network, c.network[packet(t)]) },
		"fail":      func(t *rapid.T) { c.fail(target(t)) },
		"fail more": func(*rapid.T) { c.failAgain() },
		"fail alone": func(t *rapid.T) {
			chosen := target(t)
			for _, other := range c.targets {
				other.failing = other.failing && other == chosen
			}
			c.fail(chosen)
			c.exchange()
			c.advance(100 * time.Millisecond)
		},
		"repair":  func(*rapid.T) { c.repair() },
		"recover": func(t *rapid.T) { c.recover(target(t)) },
		"relapse": func(t *rapid.T) {
			chosen := target(t)
			c.step(chosen.host, func(s State, ctx Context) (State, []effect.Effect) { return s.TargetRelapsed(ctx, chosen.id) })
		},
		"cut": func(t *rapid.T) {
			link := [2]fleet.NodeID{host(t).id, host(t).id}
			c.cut[link] = !c.cut[link]
		},
		"pause": func(t *rapid.T) {
			h := host(t)
			h.paused = !h.paused
		},
		"slow": func(t *rapid.T) {
			link := [2]fleet.NodeID{host(t).id, host(t).id}
			c.slow[link] = !c.slow[link]
		},
		"long pause": func(t *rapid.T) {
			h := host(t)
			c.failOn(h)
			c.deliverAll()
			h.paused = true
			c.run(time.Duration(rapid.IntRange(1, 9).Draw(t, "seconds"))*time.Second, time.Second)
			h.paused = false
			c.exchange()
		},
		"die":     func(t *rapid.T) { host(t).dead = true },
		"restart": func(t *rapid.T) { c.restart(host(t)) },
		"drain": func(t *rapid.T) {
			chosen := target(t)
			chosen.draining = !chosen.draining
		},
		"vanish": func(t *rapid.T) {
			chosen := target(t)
			chosen.gone = !chosen.gone
		},
		"floor": func(t *rapid.T) { c.floor = rapid.IntRange(1, 4).Draw(t, "floor") },
	}
}

// failOn makes the detector find the first target of a host failing.
func (c *cluster) failOn(h *host) {
	for _, target := range c.targets {
		if target.host == h {
			c.fail(target)
			return
		}
	}
}

// failAgain makes the detectors find all failing targets failing once more.
func (c *cluster) failAgain() {
	for _, target := range c.targets {
		if target.failing {
			c.fail(target)
		}
	}
}
