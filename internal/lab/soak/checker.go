package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// inForceBound is the documented bound within which an accepted revision is in force on every node.
	inForceBound = 6 * time.Second
	// reconnectAllowance is how long after a fault a node may take to reach the platform and its peers again. Retries of calls
	// are delayed by at most 10 s, and by at most 5 s on a node that knows other nodes.
	reconnectAllowance = 5 * time.Second
)

// checker checks the observed revisions of the tables against the guarantees. It is immutable.
type checker struct {
	plan []Step
	// accepted holds the revisions accepted so far.
	accepted []acceptedRevision
	// highest maps each incarnation of a node to the highest revision observed.
	highest map[incarnation]uint64
}

// incarnation identifies one start of a node's process.
type incarnation struct{ node, start int }

// observation is the revision of a node at a time relative to the start of the plan.
type observation struct {
	incarnation incarnation
	revision    uint64
	at          time.Duration
}

// WithAcceptedRevision returns the checker after the platform has accepted a revision.
func (c checker) WithAcceptedRevision(accepted acceptedRevision) checker {
	c.accepted = append(slices.Clone(c.accepted), accepted)
	return c
}

// WithObservation returns the checker after an observation and the guarantees that the observation violates.
func (c checker) WithObservation(o observation, planStart time.Time) (checker, []string) {
	var violations []string
	previous := c.highest[o.incarnation]
	if o.revision < previous {
		violations = append(violations, fmt.Sprintf("%.1fs: node %d went back from revision %d to %d",
			o.at.Seconds(), o.incarnation.node, previous, o.revision))
	}
	c.highest = maps.Clone(c.highest)
	c.highest[o.incarnation] = max(previous, o.revision)
	for _, accepted := range c.accepted {
		acceptedAt := accepted.at.Sub(planStart)
		if o.revision >= accepted.revision || o.at-acceptedAt <= inForceBound ||
			c.mayBeAffected(o.incarnation.node, acceptedAt, o.at) {
			continue
		}
		violations = append(violations, fmt.Sprintf("%.1fs: node %d has revision %d, but %d was accepted at %.1fs",
			o.at.Seconds(), o.incarnation.node, o.revision, accepted.revision, acceptedAt.Seconds()))
	}
	return c, violations
}

// affectsAllNodes holds the kinds of faults that affect how every node reads the tables.
var affectsAllNodes = map[Kind]bool{Outage: true, SilentPlatform: true, SlowPlatform: true, LostResponses: true, RestoredStore: true}

// unrelatedToTables holds the kinds of faults that do not affect how a node reads the tables.
var unrelatedToTables = map[Kind]bool{
	KillTarget: true, StopTarget: true, PauseTarget: true, FailTarget: true, SlowTarget: true, ChangeTables: true, Reload: true,
}

// mayBeAffected reports whether a fault may have prevented a node from reading the tables during an interval or shortly before.
func (c checker) mayBeAffected(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.plan, func(s Step) bool {
		if unrelatedToTables[s.Kind] || s.Node != node && !affectsAllNodes[s.Kind] {
			return false
		}
		end := s.Start + s.Duration
		if s.Kind == StopNode {
			// The node may use its whole stop grace before it is restarted.
			end += killTimeout
		}
		return s.Start < to && from < end+reconnectAllowance
	})
}
