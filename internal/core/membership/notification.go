package membership

import (
	"jayfold.dev/jayfold/internal/core/effect"
)

// notifiedPeers is the number of peers in its zone that a node notifies of a change of the tables at once. Each node of the zone that can
// reach the platform reads the change itself; these pings tell the others.
const notifiedPeers = 4

// RoutableNodes returns the number of routable members, including this node.
func (s State) RoutableNodes() int { return s.RoutableZoneNodes() + len(s.otherZones.ids) }

// RoutableZoneNodes returns the number of routable members in this node's availability zone, including this node.
func (s State) RoutableZoneNodes() int { return 1 + len(s.ownZone.ids) }

// NotifyZonePeers pings some peers in the zone. The envelope of each message carries the tables revision, so the peers learn of
// a new one.
func (s State) NotifyZonePeers() (State, []effect.Effect) {
	return s.pingAll(s.membersOf(s.ownZone.pick(notifiedPeers, s.self, s.sequence)))
}
