package effect

import (
	"time"

	"jayfold.dev/jayfold/internal/core/fleet"
)

// NodeStatus is a snapshot of a node's state for operators.
type NodeStatus struct {
	Node             fleet.NodeID
	AvailabilityZone fleet.AvailabilityZone
	Incarnation      fleet.Incarnation
	// Revision is in force on this node. NewestRevision is the highest one seen anywhere.
	Revision          fleet.Revision
	NewestRevision    fleet.Revision
	PlatformReachable bool
	// Epoch is that of the platform's data; 0 if it is unknown.
	Epoch fleet.Epoch
	// Unread has a text for each part of the revision in force that this node cannot read.
	Unread []string
	// Accounts counts the accounts in force, and UnusableAccounts the entries that cannot be read.
	Accounts         int
	UnusableAccounts int
	Draining         bool
	InFlight         int
	Services         []ServiceStatus
	Targets          []TargetStatus
	Members          []fleet.Member
	Quarantined      []QuarantineStatus
	// RateLimits has an entry for each shard of accounts if an account has a rate limit, and Waiting is the number of requests of
	// this node's callers that wait for a token.
	RateLimits []RateLimitStatus
	Waiting    int
}

// RateLimitStatus is the state of one shard of rate-limited accounts as seen by this node.
type RateLimitStatus struct {
	Shard int
	// Allocator is the node from which this node gets tokens; empty if it grants them itself.
	Allocator fleet.NodeID
	// Shares is the number of nodes whose shares of the rate limits this node holds, of those of Members nodes.
	Shares  int
	Members int
}

// ServiceStatus is the state of a pool as seen by this node.
type ServiceStatus struct {
	Service string
	Pool    fleet.PoolName
	Floor   int
	// Known is the number of targets in the pool that are neither draining nor unreachable, InService the number of those that
	// are not ejected.
	Known     int
	InService int
}

// TargetStatus is the state of a target on this node's host.
type TargetStatus struct {
	Target fleet.Target
	Load   fleet.Load
	// Judged and Bad count the requests that the outlier detector has judged, and found bad, since Score was last zero.
	// Baseline is the duration that they were compared with.
	Judged   int
	Bad      int
	Score    float64
	Baseline time.Duration
	// ExpectedWait is the time that a lookup of priority 0 would wait, and MeanTime the mean run time; both are 0 unless
	// targets are placed by cost.
	ExpectedWait, MeanTime time.Duration
}

// QuarantineStatus is the state of a quarantined fingerprint.
type QuarantineStatus struct {
	Fingerprint fleet.Fingerprint
	Until       time.Time
}
