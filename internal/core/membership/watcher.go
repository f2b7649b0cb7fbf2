package membership

import (
	"jayfold.dev/jayfold/internal/core/effect"
)

const (
	// zoneWatchers is the number of nodes of a zone that watch the platform on behalf of the others. With three, a zone has no
	// watcher only if three of its nodes fail together, and the platform has 21 watches at the design size, however many nodes the
	// zones have.
	zoneWatchers = 3
	// notifiedPeers is the number of peers in its zone that a node notifies of a change of the tables at once. From three watchers
	// it takes three rounds to reach the 77 nodes of a zone at the design size.
	notifiedPeers = 4
)

// IsWatcher reports whether this node watches the platform on behalf of its zone: it is among the first routable members by id.
// A node that has just started and knows few others is one, too.
func (s State) IsWatcher() bool {
	before := 0
	for _, id := range s.ownZone.ids {
		if id < s.self {
			before++
		}
	}
	return before < zoneWatchers
}

// NotifyZonePeers pings some peers in the zone. The envelope of each message carries the tables revision, so the peers learn of
// a new one.
func (s State) NotifyZonePeers() (State, []effect.Effect) {
	return s.pingAll(s.membersOf(s.ownZone.pick(notifiedPeers, s.self, s.sequence)))
}
