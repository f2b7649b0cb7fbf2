package node

import (
	"slices"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/quarantine"
)

func (s State) quarantineContext(ev event.Event) quarantine.Context {
	return quarantine.Context{Now: ev.At, Random: ev.Random, Peers: func() []fleet.Member { return s.suspicionPeers(ev.Random) }}
}

// suspicionsPerCrossZone is the number of steps that send crash suspicions of which one sends them to any zone while bytes between
// zones are expensive. A zone of eight nodes then passes a suspicion on within two ticks.
const suspicionsPerCrossZone = 8

// minZonePeers is the number of members of the own zone below which suspicions are sent to any zone.
const minZonePeers = 3

// suspicionPeers returns the members to which a step may send crash suspicions: all that are alive, and mostly only those of the own
// zone while bytes between zones are expensive. The random number of a step also selects members, so that other bits decide here.
func (s State) suspicionPeers(random uint64) []fleet.Member {
	peers := s.alivePeers()
	if !s.meteredZones || random>>32%suspicionsPerCrossZone == 0 {
		return peers
	}
	zone := s.Self().AvailabilityZone
	near := slices.DeleteFunc(slices.Clone(peers), func(m fleet.Member) bool { return m.AvailabilityZone != zone })
	if len(near) < minZonePeers {
		return peers
	}
	return near
}

// alivePeers returns the other members that are alive, in node id order.
func (s State) alivePeers() []fleet.Member {
	self := s.Self().Node
	var peers []fleet.Member
	for _, m := range s.membership.Members() {
		if m.Node != self && m.Status == fleet.Alive {
			peers = append(peers, m)
		}
	}
	return peers
}

func (s State) crashSuspicionsReceived(ev event.Event, body message.CrashSuspicions) (State, []effect.Effect) {
	next, effects := s.quarantine.SuspicionsReceived(s.quarantineContext(ev), body.Suspicions)
	s.quarantine = next
	return s, effects
}

func (s State) tickQuarantine(ev event.Event) (State, []effect.Effect) {
	next, effects := s.quarantine.Tick(s.quarantineContext(ev))
	s.quarantine = next
	return s, effects
}
