package effect

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// Status is a view of one node's state for operators.
type Status struct {
	Node             fleet.NodeID
	AvailabilityZone fleet.AvailabilityZone
	Incarnation      fleet.Incarnation
	// Revision is in force on this node; Newest is the highest one seen anywhere.
	Revision   fleet.Revision
	Newest     fleet.Revision
	Platform   bool
	Draining   bool
	InFlight   int
	Services   []ServiceStatus
	Targets    []TargetStatus
	Members    []fleet.Member
	Quarantine []QuarantineStatus
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
