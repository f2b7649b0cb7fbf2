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

// newZonedState returns the state of a node that knows some nodes of its own zone and some of another one.
func newZonedState(self fleet.NodeID, ownZone, otherZone int) State {
	s := New(fleet.Member{Node: self, AvailabilityZone: "a", PeerAddress: string(self)})
	for i := range ownZone + otherZone {
		m := fleet.Member{Node: fleet.NodeID(fmt.Sprintf("n%d", i)), AvailabilityZone: "a", PeerAddress: fmt.Sprint(i)}
		if i >= ownZone {
			m.AvailabilityZone = "b"
		}
		s = s.withRecord(m)
	}
	return s
}

// TestRoutableNodes guards against nodes that rely on others of their zone that are dead, or that are in another zone.
func TestRoutableNodes(t *testing.T) {
	for name, c := range map[string]struct {
		state     State
		all, zone int
	}{
		"alone":                  {newZonedState("z", 0, 0), 1, 1},
		"with others":            {newZonedState("z", 9, 5), 15, 10},
		"the only one of a zone": {newZonedState("z", 0, 5), 6, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.state.RoutableNodes(), c.all)
			is.New(t).Equal(c.state.RoutableZoneNodes(), c.zone)
		})
	}
	t.Run("after others have died", func(t *testing.T) {
		s := newZonedState("z", 3, 2)
		for _, id := range []fleet.NodeID{"n0", "n1", "n4"} {
			m, _ := s.Member(id)
			s = s.withRecord(m.WithStatus(fleet.Dead))
		}
		is.New(t).Equal(s.RoutableNodes(), 3)
		is.New(t).Equal(s.RoutableZoneNodes(), 2)
	})
}

// TestNotifyZonePeers guards against a change of the tables that is not passed on until the next probe, and against one that is
// sent to every node.
func TestNotifyZonePeers(t *testing.T) {
	is := is.New(t)
	_, effects := newZonedState("n9", 8, 4).NotifyZonePeers()
	is.Equal(len(effects), notifiedPeers)
	notified := map[fleet.NodeID]bool{}
	for _, e := range effects {
		send, ok := e.(effect.SendMessage)
		is.True(ok)
		_, ping := send.Message.(message.Ping)
		is.True(ping)
		notified[send.To] = true
	}
	is.Equal(len(notified), notifiedPeers)
	is.True(!notified["n8"] && !notified["n10"]) // bytes between zones are expensive
}

// TestRegistrationIsRetried guards against nodes that start during an outage of the platform and find one another only minutes
// after it, since none of them has a record there.
func TestRegistrationIsRetried(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	s := newZonedState("z", 0, 0)
	writes := func(until time.Duration) int {
		count := 0
		for at := s.lastTick.Sub(start); at < until; at += 100 * time.Millisecond {
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
	s.lastTick = start
	is.Equal(writes(time.Second), 1)
	s = s.RegistrationFailed(start.Add(time.Second), 7)
	is.Equal(writes(4*time.Second), 1)
	s = s.RegistrationFailed(start.Add(4*time.Second), 7)
	is.Equal(writes(7*time.Second), 0) // the delay has doubled
	is.Equal(writes(9*time.Second), 1)
	is.Equal(writes(time.Minute), 0)
}
