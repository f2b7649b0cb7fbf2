package fleet

// MemberStatus is the liveness of a member as seen by its peers.
type MemberStatus uint8

// The member statuses. At the same incarnation and sequence number, a later one supersedes an earlier one.
const (
	Alive MemberStatus = iota
	Suspect
	Leaving
	Dead
)

var statusNames = [...]string{Alive: "Alive", Suspect: "Suspect", Leaving: "Leaving", Dead: "Dead"}

// String returns the name used in logs and status output.
func (s MemberStatus) String() string {
	if int(s) >= len(statusNames) {
		return "Unknown"
	}
	return statusNames[s]
}

// Member is the membership record of one node. Only that node writes it, except for Status, which its peers may change.
type Member struct {
	Node             NodeID
	AvailabilityZone AvailabilityZone
	// PeerAddress is the address for messages between nodes.
	PeerAddress string
	// ForwardAddress is the address for requests between nodes.
	ForwardAddress string
	Incarnation    Incarnation
	// Sequence grows with each change that the node makes to its record within an incarnation.
	Sequence uint64
	Status   MemberStatus
	// Targets lists the targets on the node's host in id order.
	Targets []Target
	// Tombstones holds the tombstones of the last 30 seconds in target id order. A node that restarts recovers them from this
	// record.
	Tombstones []Tombstone
}

// Supersedes reports whether m replaces other, a record of the same node.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Sequence != other.Sequence {
		return m.Sequence > other.Sequence
	}
	return m.Status > other.Status
}

// Routable reports whether requests may be sent to the member's targets.
func (m Member) Routable() bool { return m.Status == Alive || m.Status == Suspect }

// WithStatus returns the record with the given status.
func (m Member) WithStatus(s MemberStatus) Member {
	m.Status = s
	return m
}

// WithTargets returns the record with the given targets and the next sequence number.
func (m Member) WithTargets(targets []Target) Member {
	m.Targets = targets
	m.Sequence++
	return m
}

// WithTombstones returns the record with the given tombstones and the same sequence number.
func (m Member) WithTombstones(tombstones []Tombstone) Member {
	m.Tombstones = tombstones
	return m
}
