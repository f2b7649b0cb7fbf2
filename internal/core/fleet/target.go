package fleet

import "time"

// TargetState is what a target announces of itself.
type TargetState uint8

// The states of a target.
const (
	TargetReady TargetState = iota
	TargetDraining
)

var targetStateNames = [...]string{TargetReady: "Ready", TargetDraining: "Draining"}

// String returns the name used in announcements.
func (s TargetState) String() string {
	if int(s) >= len(targetStateNames) {
		return "Unknown"
	}
	return targetStateNames[s]
}

// Target is a back-end process as the fleet knows it.
type Target struct {
	ID    TargetID
	Pool  PoolName
	State TargetState
	Slots int
	// Ejected is the state at the sidecar when it wrote the record; it is only a hint to other nodes.
	Ejected bool
}

// Tombstone names a target's process that has drained, left or lost its address to another one. Heartbeats of it may still be
// under way.
type Tombstone struct {
	Target   TargetID
	Instance string
	// Started is when the process started. Only processes that tell it have departures that are kept.
	Started time.Time
}

// Heartbeat is one heartbeat of a target to the node on its host.
type Heartbeat struct {
	Name string
	Pool PoolName
	// Address is the host and port on which the target takes requests.
	Address     string
	Slots       int
	Connections int
	State       TargetState
	// Instance changes at each start of the target's process.
	Instance string
	// Started is when the process started and Sequence counts its heartbeats, where the target tells; a heartbeat that was
	// overtaken on its way is known by them.
	Started  time.Time
	Sequence uint64
	// InFlight is the target's own count of its running requests, which may lag. No decision rests on it.
	InFlight int
}
