package fleet

import "time"

// TargetState is the state that a target reports in its heartbeats.
type TargetState uint8

// The target states.
const (
	TargetReady TargetState = iota
	TargetDraining
)

var targetStateNames = [...]string{TargetReady: "Ready", TargetDraining: "Draining"}

// String returns the name used in heartbeats.
func (s TargetState) String() string {
	if int(s) >= len(targetStateNames) {
		return "Unknown"
	}
	return targetStateNames[s]
}

// Target is the record of a back-end process in its node's membership record.
type Target struct {
	ID    TargetID
	Pool  PoolName
	State TargetState
	Slots int
	// Ejected is the state at the sidecar when it wrote the record. It is only a hint for other nodes.
	Ejected bool
}

// Tombstone marks a target process that has drained, left or lost its address to another process. Its late heartbeats, which
// may still arrive, are ignored.
type Tombstone struct {
	Target   TargetID
	Instance string
	// Started is the start time of the process. Tombstones are kept only for processes that report it.
	Started time.Time
}

// Heartbeat is a periodic report of a target to the node on its host.
type Heartbeat struct {
	Name string
	Pool PoolName
	// Address is the host and port on which the target accepts requests.
	Address     string
	Slots       int
	Connections int
	State       TargetState
	// Instance identifies the target's process. It changes with every restart.
	Instance string
	// Started is the start time of the process and Sequence the number of the heartbeat, if the target reports them. They
	// identify heartbeats that arrive out of order.
	Started  time.Time
	Sequence uint64
	// InFlight is the target's own count of its running requests, which may lag. No decision depends on it.
	InFlight int
}
