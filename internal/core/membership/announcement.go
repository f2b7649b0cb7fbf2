package membership

import (
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// announcementTime is how long after the loss of a member of its zone a node announces its own record to the other zones. It covers the
	// suspicion of a member and the detection of several that are lost together, one a second.
	announcementTime = 30 * time.Second
	// announcementInterval is the time between two announcements to the same zone.
	announcementInterval = time.Second
	// announcementCandidates limits the members of other zones that one step looks at. 64 members of a shuffled ring include each zone.
	announcementCandidates = 64
)

// announcement is the state of the pings with which a node announces its own record to other zones. In calm the members of its zone
// gossip the record there, each with a few copies. If many of them are lost at the moment of a change, the other zones may get no
// copy before the next pull of differing records, minutes later.
type announcement struct {
	// lossSeen is the time at which a member of this node's zone was last found to be suspect or dead.
	lossSeen time.Time
	// next is the time of the next pings.
	next time.Time
}

// isRunning reports whether a member of the zone was lost a short time ago.
func (a announcement) isRunning(now time.Time) bool {
	return !a.lossSeen.IsZero() && now.Sub(a.lossSeen) < announcementTime
}

// noteZoneLoss records the time if the new record of a member of this node's zone shows that it is lost.
func (s State) noteZoneLoss(now time.Time, m fleet.Member) State {
	known, ok := s.Member(m.Node)
	lost := m.Status == fleet.Suspect || m.Status == fleet.Dead
	if ok && known.Status == fleet.Alive && lost && m.AvailabilityZone == s.Self().AvailabilityZone {
		s.announcement.lossSeen = now
	}
	return s
}

// announceOwnRecord pings one member of each other zone that has not confirmed the newest version of this node's own record, while members of
// its own zone may be lost that would have gossiped it there.
func (s State) announceOwnRecord(now time.Time, _ uint64) (State, []effect.Effect) {
	if !s.announcement.isRunning(now) || now.Before(s.announcement.next) {
		return s, nil
	}
	s.announcement.next = now.Add(announcementInterval)
	var effects []effect.Effect
	var pinged fleet.Set[fleet.AvailabilityZone]
	for _, id := range s.otherZones.pick(announcementCandidates, s.self, s.sequence) {
		m, _ := s.Member(id)
		confirmed, ok := s.kept.inZone.Get(m.AvailabilityZone)
		if ok && confirmed >= s.Self().Sequence || pinged.Has(m.AvailabilityZone) {
			continue
		}
		pinged = pinged.With(m.AvailabilityZone)
		s.crossZoneGossip = s.crossZoneGossip.with(s.self)
		next, ping := s.ping(m.Node, m.PeerAddress)
		s = next
		effects = append(effects, ping)
	}
	return s, effects
}
