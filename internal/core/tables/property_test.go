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
		w := newWorld(rapid.IntRange(2, 5).Draw(rt, "nodes"), newRandom(rapid.Uint64().Draw(rt, "seed")))
		var held []delivery
		reached := make([]fleet.Revision, len(w.nodes))
		node := rapid.IntRange(0, len(w.nodes)-1)
		pick := func(rt *rapid.T) int {
			if len(w.queue) == 0 {
				rt.Skip("nothing is in transit")
			}
			return rapid.IntRange(0, len(w.queue)-1).Draw(rt, "in transit")
		}
		pickMessage := func(rt *rapid.T) int {
			i := pick(rt)
			if !w.queue[i].isMessage {
				rt.Skip("only messages are lost and duplicated")
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
			// Deliveries that are held back arrive after many that were sent later.
			"hold": func(rt *rapid.T) {
				i := pick(rt)
				held = append(held, w.queue[i])
				w.queue = append(w.queue[:i:i], w.queue[i+1:]...)
			},
			"release": func(*rapid.T) { w.queue, held = append(w.queue, held...), nil },
			// Most deliveries in transit arrive, in random order.
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
		// After the longest delay, which follows rejected content, every node has the newest revision.
		w.queue = append(w.queue, held...)
		w.setOutage(false)
		w.damage = false
		w.run(80 * time.Second)
		if behind := w.behind(); behind > 0 {
			rt.Fatalf("%d nodes do not have revision %d", behind, w.head)
		}
	})
}
