package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
)

// newZonesNode returns a node that knows the given number of other members in its own zone, and as many in another one.
func newZonesNode(perZone int, metered bool) *runner {
	n := newRunner(memberRecord("n0", 1))
	settings := DefaultSettings()
	settings.MeteredZones = metered
	n.reduce(event.SettingsReloaded{Settings: settings})
	for i := range 2 * perZone {
		id := fleet.NodeID(fmt.Sprintf("peer%d", i))
		m := memberRecord(id, 1)
		m.AvailabilityZone = fleet.AvailabilityZone(fmt.Sprintf("zone-%d", i%2))
		n.reduce(event.MessageReceived{Envelope: message.Envelope{
			From: id, Address: string(id), Incarnation: 1, Message: message.Ping{Members: []fleet.Member{m}},
		}})
	}
	return n
}

func assertSuspicionPeers(t *testing.T, n *runner, random uint64, want int) {
	t.Helper()
	is.New(t).Equal(len(n.state.suspicionPeers(random)), want)
}

// TestSuspicionPeers guards against crash suspicions that every node sends to all zones: after a few crashes they were a quarter of
// the bytes between zones.
func TestSuspicionPeers(t *testing.T) {
	const staysInZone, leavesZone = 1 << 32, suspicionsPerCrossZone << 32
	t.Run("most go to the own zone", func(t *testing.T) {
		assertSuspicionPeers(t, newZonesNode(5, true), staysInZone, 5)
	})
	t.Run("some go to any zone", func(t *testing.T) {
		assertSuspicionPeers(t, newZonesNode(5, true), leavesZone, 10)
	})
	t.Run("a small zone sends to all", func(t *testing.T) {
		assertSuspicionPeers(t, newZonesNode(2, true), staysInZone, 4)
	})
	t.Run("free traffic between zones", func(t *testing.T) {
		assertSuspicionPeers(t, newZonesNode(5, false), staysInZone, 10)
	})
}
