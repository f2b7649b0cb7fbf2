package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// platformCalls are the times of the calls to the platform that a fleet makes, since it noticed a restoration.
type platformCalls struct{ reads, writes []time.Duration }

// busiestSecond returns the highest number of calls within one second.
func busiestSecond(calls []time.Duration) int {
	slices.Sort(calls)
	busiest, first := 0, 0
	for last, at := range calls {
		for at-calls[first] >= time.Second {
			first++
		}
		busiest = max(busiest, last-first+1)
	}
	return busiest
}

// callsAfterRestoration returns the calls that members nodes make within 20 s after all of them have noticed at the same moment that the
// platform was restored from a copy. Each call is answered at once.
func callsAfterRestoration(members int) platformCalls {
	start := time.Unix(1_800_000_000, 0)
	s := New(memberRecord("n000", 1), DefaultSettings())
	var others []fleet.Member
	for i := 1; i < members; i++ {
		others = append(others, memberRecord(fleet.NodeID(fmt.Sprintf("n%03d", i)), 1))
	}
	reduce := func(s State, at time.Duration, random uint64, body event.Body) (State, []effect.Effect) {
		return s.Reduce(event.Event{At: start.Add(at), Random: random, Body: body})
	}
	s, _ = reduce(s, 0, 0, event.MessageReceived{Envelope: message.Envelope{From: "n001", Incarnation: 1, Message: message.Ping{Members: others}}})
	s, _ = reduce(s, 0, 0, event.Tick{})
	s, _ = reduce(s, 0, 0, event.EpochSeen{Epoch: 1})
	s, _ = reduce(s, 0, 0, event.HeadRead{Position: fleet.Position{Epoch: 1, Version: 40}})
	s, _ = reduce(s, 10*time.Second, 0, event.Tick{})

	var calls platformCalls
	random := rand.New(rand.NewPCG(1, 1))
	for range members {
		node, noticed := s, 11*time.Second
		node, _ = reduce(node, noticed, random.Uint64(), event.EpochSeen{Epoch: 2})
		for at := noticed; at < noticed+20*time.Second; at += 100 * time.Millisecond {
			var effects []effect.Effect
			node, effects = reduce(node, at, random.Uint64(), event.Tick{})
			for _, e := range effects {
				switch e := e.(type) {
				case effect.WatchHead:
					calls.reads = append(calls.reads, at)
					if e.From.Version == 0 {
						position := fleet.Position{Epoch: 2, Version: 23}
						node, _ = reduce(node, at, random.Uint64(), event.HeadRead{Position: position})
					}
				case effect.ListMembers:
					calls.reads = append(calls.reads, at+e.Delay)
				case effect.RegisterMember:
					calls.writes = append(calls.writes, at+e.Delay)
				}
			}
		}
	}
	return calls
}

// TestCallsAfterRestoration guards against a fleet that exceeds the rates of the platform when all nodes notice at the same moment that it
// was restored from a copy. The platform of the design size accepts 2,000 reads and 400 writes a second.
func TestCallsAfterRestoration(t *testing.T) {
	for _, members := range []int{351, 540} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			is, calls := is.New(t), callsAfterRestoration(members)
			reads, writes := busiestSecond(calls.reads), busiestSecond(calls.writes)
			t.Logf("%d nodes: %d reads, %d in the busiest second; %d writes, %d in the busiest second",
				members, len(calls.reads), reads, len(calls.writes), writes)
			is.Equal(len(calls.writes), members)
			is.Equal(len(calls.reads), 2*members) // the read of the head and the watch from there
			is.True(reads <= 2000)
			is.True(writes <= 400)
		})
	}
}
