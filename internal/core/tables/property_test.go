package tables_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestRevisionsNeverGoBack guards against a node that adopts an older revision or one that was never accepted while messages
// are lost, duplicated, corrupted and reordered and the platform fails, and against a node that stays behind afterwards.
func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.IntRange(2, 5).Draw(rt, "nodes"), newRandom(rapid.Uint64().Draw(rt, "seed")))
		var held []delivery
		reached := make([]fleet.Revision, len(sim.nodes))
		node := rapid.IntRange(0, len(sim.nodes)-1)
		pick := func(rt *rapid.T) int {
			if len(sim.queue) == 0 {
				rt.Skip("nothing is in transit")
			}
			return rapid.IntRange(0, len(sim.queue)-1).Draw(rt, "in transit")
		}
		pickMessage := func(rt *rapid.T) int {
			i := pick(rt)
			if !sim.queue[i].isMessage {
				rt.Skip("only messages are lost and duplicated")
			}
			return i
		}
		rt.Repeat(map[string]func(*rapid.T){
			"apply":   func(*rapid.T) { sim.apply() },
			"outage":  func(*rapid.T) { sim.setOutage(!sim.outage) },
			"damage":  func(*rapid.T) { sim.damage = !sim.damage },
			"deliver": func(rt *rapid.T) { sim.deliver(pick(rt)) },
			"lose": func(rt *rapid.T) {
				i := pickMessage(rt)
				sim.queue = append(sim.queue[:i:i], sim.queue[i+1:]...)
			},
			"repeat": func(rt *rapid.T) { sim.queue = append(sim.queue, sim.queue[pickMessage(rt)]) },
			"talk":   func(rt *rapid.T) { sim.exchange(node.Draw(rt, "from"), node.Draw(rt, "to")) },
			// Deliveries that are held back arrive after many that were sent later.
			"hold": func(rt *rapid.T) {
				i := pick(rt)
				held = append(held, sim.queue[i])
				sim.queue = append(sim.queue[:i:i], sim.queue[i+1:]...)
			},
			"release": func(*rapid.T) { sim.queue, held = append(sim.queue, held...), nil },
			// Most deliveries in transit arrive, in random order.
			"progress": func(rt *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(rt, "ticks") {
					sim.now = sim.now.Add(100 * time.Millisecond)
					for i := range sim.nodes {
						sim.tick(i)
						sim.exchange(i, (i+1)%len(sim.nodes))
					}
					for range len(sim.queue) / 2 {
						sim.deliver(int(sim.random() % uint64(len(sim.queue))))
					}
				}
			},
			"tick": func(rt *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "milliseconds")) * time.Millisecond)
				sim.tick(node.Draw(rt, "node"))
			},
			"": func(rt *rapid.T) {
				for i, s := range sim.nodes {
					r := s.Current().Revision
					if r < reached[i] || r > sim.head {
						rt.Fatalf("node %d went from revision %d to %d; the platform has %d", i, reached[i], r, sim.head)
					}
					if sim.watches[i] > 1 {
						rt.Fatalf("node %d has %d watches", i, sim.watches[i])
					}
					reached[i] = r
				}
			},
		})
		// After the longest delay, which follows rejected content, every node has the newest revision.
		sim.queue = append(sim.queue, held...)
		sim.setOutage(false)
		sim.damage = false
		sim.run(80 * time.Second)
		if behind := sim.behind(); behind > 0 {
			rt.Fatalf("%d nodes do not have revision %d", behind, sim.head)
		}
	})
}
