package tables_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestRevisionsNeverGoBack guards against a node that takes an older revision, or one that was never accepted, when
// messages are lost, repeated, damaged and reordered and the platform fails; and against a node that stays behind afterwards.
func TestRevisionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.IntRange(2, 5).Draw(rt, "nodes"), newRandom(rapid.Uint64().Draw(rt, "seed")))
		var held []delivery
		reached := make([]fleet.Revision, len(w.nodes))
		node := rapid.IntRange(0, len(w.nodes)-1)
		pick := func(rt *rapid.T) int {
			if len(w.queue) == 0 {
				rt.Skip("nothing is under way")
			}
			return rapid.IntRange(0, len(w.queue)-1).Draw(rt, "under way")
		}
		pickMessage := func(rt *rapid.T) int {
			i := pick(rt)
			if !w.queue[i].message {
				rt.Skip("only messages are lost and repeated")
			}
			return i
		}
		rt.Repeat(map[string]func(*rapid.T){
			"apply":   func(*rapid.T) { w.apply() },
			"outage":  func(*rapid.T) { w.setOutage(!w.outage) },
			"damage":  func(*rapid.T) { w.damage = !w.damage },
			"deliver": func(rt *rapid.T) { w.deliver(pick(rt)) },
			"lose": func(rt *rapid.T) {
				i := pickMessage(rt)
				w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			},
			"repeat": func(rt *rapid.T) { w.queue = append(w.queue, w.queue[pickMessage(rt)]) },
			"talk":   func(rt *rapid.T) { w.exchange(node.Draw(rt, "from"), node.Draw(rt, "to")) },
			// What is held back arrives after much that was sent later.
			"hold": func(rt *rapid.T) {
				i := pick(rt)
				held = append(held, w.queue[i])
				w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			},
			"release": func(*rapid.T) { w.queue, held = append(w.queue, held...), nil },
			// Most of what is under way arrives, in any order.
			"progress": func(rt *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(rt, "ticks") {
					w.now = w.now.Add(100 * time.Millisecond)
					for i := range w.nodes {
						w.tick(i)
						w.exchange(i, (i+1)%len(w.nodes))
					}
					for range len(w.queue) / 2 {
						w.deliver(int(w.random() % uint64(len(w.queue))))
					}
				}
			},
			"tick": func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "milliseconds")) * time.Millisecond)
				w.tick(node.Draw(rt, "node"))
			},
			"": func(rt *rapid.T) {
				for i, s := range w.nodes {
					r := s.Current().Revision
					if r < reached[i] || r > w.head {
						rt.Fatalf("node %d went from revision %d to %d; the platform has %d", i, reached[i], r, w.head)
					}
					if w.watches[i] > 1 {
						rt.Fatalf("node %d has %d watches", i, w.watches[i])
					}
					reached[i] = r
				}
			},
		})
		// After the longest delay, the one after damaged content, everything is in force.
		w.queue = append(w.queue, held...)
		w.setOutage(false)
		w.damage = false
		w.run(80 * time.Second)
		if behind := w.behind(); behind > 0 {
			rt.Fatalf("%d nodes do not have revision %d", behind, w.head)
		}
	})
}
