package membership

import (
	"jayfold.dev/jayfold/internal/core/effect"
)

const (
	// zoneWatchers is how many nodes of a zone watch the platform itself for the others. With three, a zone is without one only
	// when three of its nodes fail together, and the platform has 21 such watches at the design size, whatever the fleet's.
	zoneWatchers = 3
	// toldPeers is how many nodes of its zone a node tells of a change of the tables at once. From three watchers it takes three
	// rounds to reach the 77 nodes of a zone at the design size.
	toldPeers = 4
)

// IsWatcher reports whether this node is one of those of its zone that watch the platform itself: the first ones by id that are
// present. A node that has just started and knows few others is one.
func (s State) IsWatcher() bool {
	before := 0
	for _, id := range s.near.ids {
		if id < s.self {
			before++
		}
	}
	return before < zoneWatchers
}

// NotifyZonePeers tells some nodes of the zone of what every message shows, such as a new revision of the tables.
func (s State) NotifyZonePeers() (State, []effect.Effect) {
	return s.pingAll(s.membersOf(s.near.some(toldPeers, s.self, s.sequence)))
}
