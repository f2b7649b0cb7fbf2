package fleet

// MemberStatus is the liveness of a member.
type MemberStatus uint8

// The statuses, in the order in which they override one another at the same incarnation and sequence.
const (
	Alive MemberStatus = iota
	Suspect
	Leaving
	Dead
)

var statusNames = [...]string{Alive: "Alive", Suspect: "Suspect", Leaving: "Leaving", Dead: "Dead"}

// String returns the status's name.
func (s MemberStatus) String() string {
	if int(s) >= len(statusNames) {
		return "Unknown"
	}
	return statusNames[s]
}

// Member is the record of one node. Only that node writes it, but for Status, which its peers judge.
type Member struct {
	Node             NodeID
	AvailabilityZone AvailabilityZone
	// PeerAddress is the address for messages between nodes.
	PeerAddress string
	// ForwardAddress is the address for requests between nodes.
	ForwardAddress string
	Incarnation    Incarnation
	// Sequence counts the node's changes to its record within an incarnation.
	Sequence uint64
	Status   MemberStatus
	// Targets are the targets on the node's host, in id order.
	Targets []Target
	// Tombstones are the departures of the last half minute, in the order of their targets. The node forgets them when it
	// restarts, and learns them again from this record.
	Tombstones []Tombstone
}

// Supersedes reports whether m overrides other, a record of the same node.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Sequence != other.Sequence {
		return m.Sequence > other.Sequence
	}
	return m.Status > other.Status
}

// Routable reports whether requests may go to the member's targets.
func (m Member) Routable() bool { return m.Status == Alive || m.Status == Suspect }

// WithStatus returns the record with another status.
func (m Member) WithStatus(s MemberStatus) Member {
	m.Status = s
	return m
}

// WithTargets returns the record with other targets, under the next sequence number.
func (m Member) WithTargets(targets []Target) Member {
	m.Targets = targets
	m.Sequence++
	return m
}

// WithTombstones returns the record with other departures, under the same sequence number.
func (m Member) WithTombstones(departures []Tombstone) Member {
	m.Tombstones = departures
	return m
}
