package effect

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// NodeStatus is a view of one node's state for operators.
type NodeStatus struct {
	Node             fleet.NodeID
	AvailabilityZone fleet.AvailabilityZone
	Incarnation      fleet.Incarnation
	// Revision is in force on this node; Newest is the highest one seen anywhere.
	Revision          fleet.Revision
	NewestRevision    fleet.Revision
	PlatformReachable bool
	Draining          bool
	InFlight          int
	Services          []ServiceStatus
	Targets           []TargetStatus
	Members           []fleet.Member
	Quarantined       []QuarantineStatus
}

// ServiceStatus is one service's pool as this node sees it.
type ServiceStatus struct {
	Service string
	Pool    fleet.PoolName
	Floor   int
	// Known counts the targets of the pool, InService those neither ejected, draining nor unreachable.
	Known     int
	InService int
}

// TargetStatus is one target on this node's host.
type TargetStatus struct {
	Target fleet.Target
	Load   fleet.Load
	// Evidence of the detector: requests judged and found bad since the statistic was last zero, against which baseline.
	Judged   int
	Bad      int
	Score    float64
	Baseline time.Duration
}

// QuarantineStatus is one quarantined fingerprint.
type QuarantineStatus struct {
	Fingerprint fleet.Fingerprint
	Until       time.Time
}
