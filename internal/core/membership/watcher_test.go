package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// zoned returns a node that knows some nodes of its own zone and some of another one.
func zoned(self fleet.NodeID, near, far int) State {
	s := New(fleet.Member{Node: self, AvailabilityZone: "a", PeerAddress: string(self)})
	for i := range near + far {
		m := fleet.Member{Node: fleet.NodeID(fmt.Sprintf("n%d", i)), AvailabilityZone: "a", PeerAddress: fmt.Sprint(i)}
		if i >= near {
			m.AvailabilityZone = "b"
		}
		s = s.with(m)
	}
	return s
}

// TestWatchers guards against zones without a node that watches the platform itself, and against a fleet in which all do.
func TestWatchers(t *testing.T) {
	for name, c := range map[string]struct {
		state State
		want  bool
	}{
		"alone":                          {zoned("z", 0, 0), true},
		"the third of its zone":          {zoned("n15", 2, 0), true},
		"the fourth of its zone":         {zoned("z", 3, 0), false},
		"the first of a large zone":      {zoned("a", 9, 0), true},
		"nodes of other zones before it": {zoned("z", 2, 5), true},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.state.IsWatcher(), c.want) })
	}
	t.Run("one takes the place of a watcher that is dead", func(t *testing.T) {
		is := is.New(t)
		s := zoned("n9", 3, 0)
		is.True(!s.IsWatcher())
		m, _ := s.Member("n1")
		is.True(s.with(m.WithStatus(fleet.Dead)).IsWatcher())
	})
}

// TestTold guards against a change of the tables that waits for the next probe, and against one that goes to every node.
func TestTold(t *testing.T) {
	is := is.New(t)
	_, effects := zoned("n9", 8, 4).NotifyZonePeers()
	is.Equal(len(effects), toldPeers)
	told := map[fleet.NodeID]bool{}
	for _, e := range effects {
		send, ok := e.(effect.SendMessage)
		is.True(ok)
		_, ping := send.Message.(message.Ping)
		is.True(ping)
		told[send.To] = true
	}
	is.Equal(len(told), toldPeers)
	is.True(!told["n8"] && !told["n10"]) // those of the other zone have watchers of their own
}

// TestRegistrationIsRepeated guards against nodes that start while the platform is away and find one another only minutes after
// its return, since none of them has a record there.
func TestRegistrationIsRepeated(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	s := zoned("z", 0, 0)
	writes := func(until time.Duration) int {
		count := 0
		for at := s.ticked.Sub(start); at < until; at += 100 * time.Millisecond {
			var effects []effect.Effect
			s, effects = s.Tick(start.Add(at), 7)
			for _, e := range effects {
				if _, ok := e.(effect.RegisterMember); ok {
					count++
				}
			}
		}
		return count
	}
	s.ticked = start
	is.Equal(writes(time.Second), 1)
	s = s.RegistrationFailed(start.Add(time.Second), 7)
	is.Equal(writes(4*time.Second), 1)
	s = s.RegistrationFailed(start.Add(4*time.Second), 7)
	is.Equal(writes(7*time.Second), 0) // the wait has doubled
	is.Equal(writes(9*time.Second), 1)
	is.Equal(writes(time.Minute), 0)
}
