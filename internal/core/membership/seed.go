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
	// listInterval is the time between two reads of the member list by a node that knows others.
	listInterval = 30 * time.Minute
	// firstList and lastList bound the time between two reads by a node that knows no other, and between two writes that fail.
	firstList = 2 * time.Second
	lastList  = time.Minute
	// listSpread and registerSpread are the times over which nodes that start together spread their first calls: 540 nodes
	// make at most 1,080 reads and 360 writes per second.
	listSpread     = 500 * time.Millisecond
	registerSpread = 1500 * time.Millisecond
	// listLead is by how much the first read goes before the first write, so that a node that has restarted finds its last record:
	// some answers of the platform's store, which take milliseconds.
	listLead = 100 * time.Millisecond
)

// seedRanges say out of how many nodes, those that started last, each contact is drawn. The platform keeps the records of
// hosts that were replaced, 23 a day, while a node restarts more than twice a day; a small fleet has few recent ones.
var seedRanges = []int{4, 16, 64}

// seeds are the calls on the platform and the nodes that it listed, which are only contacted: what the platform has on a
// node may be old.
type seeds struct {
	listed   []fleet.Member
	list     time.Time
	wait     time.Duration
	register time.Time
	// again is the wait after the next write that fails.
	again time.Duration
}

// MembersListed takes in the records kept on the platform.
func (s State) MembersListed(members []fleet.Member) State {
	s.seeds.listed = members
	return s
}

// seek calls the platform when it is time, and contacts nodes that it listed.
func (s State) seek(now time.Time, random uint64) (State, []effect.Effect) {
	var effects []effect.Effect
	if s.started.IsZero() {
		s.started = now
		s.seeds.wait, s.seeds.again = firstList, firstList
	}
	if !now.Before(s.seeds.list) {
		effects = append(effects, effect.ListMembers{Delay: within(listSpread, random)})
		s = s.scheduleList(now, random)
	}
	if !now.Before(s.seeds.register) {
		effects = append(effects, effect.RegisterMember{Member: s.Self(), Delay: listLead + within(registerSpread, random)})
		s.seeds.register = now.Add(jitter(registerInterval, random))
	}
	s, contacts := s.contact(now, random)
	return s, append(effects, contacts...)
}

// scheduleList doubles the time to the next read while this node knows no other.
func (s State) scheduleList(now time.Time, random uint64) State {
	wait := listInterval
	if len(s.peers(1, s.self)) == 0 {
		wait = s.seeds.wait
		s.seeds.wait = min(2*wait, lastList)
	}
	s.seeds.list = now.Add(jitter(wait, random))
	return s
}

// RegistrationFailed makes this node write its record again soon: nodes that start while the platform is away find one another by
// these records. The wait doubles with each failure.
func (s State) RegistrationFailed(now time.Time, random uint64) State {
	s.seeds.register = now.Add(jitter(s.seeds.again, random))
	s.seeds.again = min(2*s.seeds.again, lastList)
	return s
}

// contact pings some listed nodes that are not known to be present, and pulls the records of one of them when this node
// has just started. All but one of them are in this node's zone, where there are any: they know of the other zones.
func (s State) contact(now time.Time, random uint64) (State, []effect.Effect) {
	near, far := s.split(s.unknown(s.seeds.listed))
	s.seeds.listed = nil
	contacts := drawn(near, seedRanges, random)
	contacts = append(contacts, drawn(far, seedRanges[min(len(contacts), len(seedRanges)-1):], random)...)
	s, effects := s.pingAll(contacts)
	if len(contacts) > 0 && !s.sync.joined && !s.sync.running() {
		next, request := s.startSync(now, contacts[0])
		s = next
		effects = append(effects, request)
	}
	return s, effects
}

// split divides members into those of this node's zone and the others.
func (s State) split(members []fleet.Member) (near, far []fleet.Member) {
	for _, m := range members {
		if m.AvailabilityZone == s.Self().AvailabilityZone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

// unknown returns the listed nodes that are not known to be present, those that started last first.
func (s State) unknown(listed []fleet.Member) []fleet.Member {
	var unknown []fleet.Member
	for _, m := range listed {
		known, ok := s.Member(m.Node)
		if m.Node != s.self && m.Routable() && (!ok || !known.Routable()) {
			unknown = append(unknown, m)
		}
	}
	slices.SortStableFunc(unknown, func(a, b fleet.Member) int { return cmp.Compare(b.Incarnation, a.Incarnation) })
	return unknown
}

// drawn returns one random node of the first of each of the ranges.
func drawn(nodes []fleet.Member, ranges []int, random uint64) []fleet.Member {
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
