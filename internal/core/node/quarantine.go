package node

import (
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/event"
	"jayfold.dev/jayfold/internal/core/fleet"
	"jayfold.dev/jayfold/internal/core/message"
	"jayfold.dev/jayfold/internal/core/quarantine"
)

func (s State) quarantineContext(ev event.Event) quarantine.Context {
	return quarantine.Context{Now: ev.At, Random: ev.Random, Peers: s.alivePeers}
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
