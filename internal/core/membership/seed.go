package membership

import (
	"cmp"
	"slices"
	"time"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

const (
	// registerInterval is the time between two writes of this node's record to the platform.
	registerInterval = 5 * time.Minute
	// listInterval is the time between two reads of the member list by a node that knows other nodes.
	listInterval = 30 * time.Minute
	// minRetryDelay and maxRetryDelay limit the delay between two reads by a node that knows no other node, and between two writes
	// after failures.
	minRetryDelay = 2 * time.Second
	maxRetryDelay = time.Minute
	// listSpread and registerSpread are the times over which nodes that start together spread their first calls: 540 nodes make at
	// most 1,080 reads and 360 writes per second.
	listSpread     = 500 * time.Millisecond
	registerSpread = 1500 * time.Millisecond
	// listLead is the minimum time from the first read to the first write, so that a restarted node reads its last record before it
	// replaces it. It is several times the response time of the platform's store, which is a few milliseconds. Both delays follow
	// from one random number, and registerSpread must be a multiple of listSpread, so that the write is never the earlier one.
	listLead = 100 * time.Millisecond
)

// seedRanges are the numbers of most recently started nodes from which each seed is drawn. The platform keeps the records of
// hosts that were replaced, 23 a day, but a node restarts more than twice a day, so the most recent records rarely belong to
// replaced hosts. The small ranges serve small fleets, which have few recent records.
var seedRanges = []int{4, 16, 64}

// seeds holds the schedule of calls to the platform and the nodes that it listed. These nodes are only pinged, since their
// records on the platform may be stale.
type seeds struct {
	listed []fleet.Member
	// read is true once the platform has listed the records of nodes.
	read             bool
	nextList         time.Time
	listDelay        time.Duration
	nextRegistration time.Time
	// registrationDelay is the delay after the next write that fails.
	registrationDelay time.Duration
}

// MembersListed handles the records read from the platform.
func (s State) MembersListed(members []fleet.Member) State {
	s.seeds.listed, s.seeds.read = members, true
	return s
}

// KnowsOthers reports whether this node knows, or is listed with, a routable node other than itself.
func (s State) KnowsOthers(listed []fleet.Member) bool {
	return len(s.selectPeers(1, s.self)) > 0 || len(s.absentNodes(listed)) > 0
}

// discover calls the platform when a call is due, and contacts nodes that it listed.
func (s State) discover(now time.Time, random uint64) (State, []effect.Effect) {
	var effects []effect.Effect
	if s.started.IsZero() {
		s.started = now
		s.seeds.listDelay, s.seeds.registrationDelay = minRetryDelay, minRetryDelay
	}
	if !now.Before(s.seeds.nextList) {
		effects = append(effects, effect.ListMembers{Delay: randomDelay(listSpread, random)})
		s = s.scheduleList(now, random)
	}
	if !now.Before(s.seeds.nextRegistration) {
		effects = append(effects, effect.RegisterMember{Member: s.Self(), Delay: listLead + randomDelay(registerSpread, random)})
		s.seeds.nextRegistration = now.Add(jitter(registerInterval, random))
	}
	s, contacts := s.contactSeeds(now, random)
	return s, append(effects, contacts...)
}

// scheduleList schedules the next read. The delay doubles while this node knows no other node.
func (s State) scheduleList(now time.Time, random uint64) State {
	wait := listInterval
	if len(s.selectPeers(1, s.self)) == 0 {
		wait = s.seeds.listDelay
		s.seeds.listDelay = min(2*wait, maxRetryDelay)
	}
	s.seeds.nextList = now.Add(jitter(wait, random))
	return s
}

// RegistrationFailed schedules another write of this node's record, since nodes that start during an outage of the platform
// find one another by these records. The delay doubles with each failure.
func (s State) RegistrationFailed(now time.Time, random uint64) State {
	s.seeds.nextRegistration = now.Add(jitter(s.seeds.registrationDelay, random))
	s.seeds.registrationDelay = min(2*s.seeds.registrationDelay, maxRetryDelay)
	return s
}

// contactSeeds pings some listed nodes that are not routable members already, and pulls the records of one of them if this node
// has just started. It prefers nodes of its own zone, since they know the other zones, but includes at least one of another zone
// if there is one.
func (s State) contactSeeds(now time.Time, random uint64) (State, []effect.Effect) {
	ownZone, otherZones := s.splitByZone(s.absentNodes(s.seeds.listed))
	s.seeds.listed = nil
	contacts := drawSeeds(ownZone, seedRanges, random)
	contacts = append(contacts, drawSeeds(otherZones, seedRanges[min(len(contacts), len(seedRanges)-1):], random)...)
	s, effects := s.pingAll(contacts)
	if len(contacts) > 0 && !s.sync.joined && !s.sync.isRunning() {
		next, request := s.startSync(now, contacts[0])
		s = next
		effects = append(effects, request)
	}
	return s, effects
}

// splitByZone divides members into those of this node's zone and the others.
func (s State) splitByZone(members []fleet.Member) (ownZone, otherZones []fleet.Member) {
	for _, m := range members {
		if m.AvailabilityZone == s.Self().AvailabilityZone {
			ownZone = append(ownZone, m)
		} else {
			otherZones = append(otherZones, m)
		}
	}
	return ownZone, otherZones
}

// absentNodes returns the listed nodes that are not routable members already, the most recently started first.
func (s State) absentNodes(listed []fleet.Member) []fleet.Member {
	var absent []fleet.Member
	for _, m := range listed {
		known, ok := s.Member(m.Node)
		if m.Node != s.self && m.Routable() && (!ok || !known.Routable()) {
			absent = append(absent, m)
		}
	}
	slices.SortStableFunc(absent, func(a, b fleet.Member) int { return cmp.Compare(b.Incarnation, a.Incarnation) })
	return absent
}

// drawSeeds returns one random node for each range. A range is the number of first nodes to draw from.
func drawSeeds(nodes []fleet.Member, ranges []int, random uint64) []fleet.Member {
	var contacts []fleet.Member
	for _, limit := range ranges {
		if len(nodes) == 0 {
			break
		}
		i := int(random % uint64(min(limit, len(nodes))))
		contacts = append(contacts, nodes[i])
		nodes = slices.Delete(nodes, i, i+1)
	}
	return contacts
}
