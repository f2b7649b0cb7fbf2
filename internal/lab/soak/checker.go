package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// inForce is the bound of the pages within which a revision is in force on every node.
	inForce = 6 * time.Second
	// aftermath is how long after a fault a node may need to reach the platform and its peers again: the longest delay of a
	// repeated call is 10 s, that of a node that knows others 5 s.
	aftermath = 5 * time.Second
)

// checker checks what is seen of the tables against the promises. It is immutable.
type checker struct {
	plan []Step
	// changes are the revisions accepted so far.
	changes []change
	// highest is the highest revision that each incarnation of a node has shown.
	highest map[incarnation]uint64
}

// incarnation is one start of a node's process.
type incarnation struct{ node, start int }

// observation is the revision that a node showed at a time since the beginning of the plan.
type observation struct {
	of       incarnation
	revision uint64
	at       time.Duration
}

// With returns the checker after a change was accepted.
func (c checker) With(accepted change) checker {
	c.changes = append(slices.Clone(c.changes), accepted)
	return c
}

// WithObservation returns the checker after a node showed its revision, and the promises that this breaks.
func (c checker) WithObservation(o observation, begun time.Time) (checker, []string) {
	var broken []string
	before := c.highest[o.of]
	if o.revision < before {
		broken = append(broken, fmt.Sprintf("%.1fs: node %d went back from revision %d to %d", o.at.Seconds(), o.of.node, before, o.revision))
	}
	c.highest = maps.Clone(c.highest)
	c.highest[o.of] = max(before, o.revision)
	for _, accepted := range c.changes {
		applied := accepted.at.Sub(begun)
		if o.revision >= accepted.revision || o.at-applied <= inForce || c.disturbed(o.of.node, applied, o.at) {
			continue
		}
		broken = append(broken, fmt.Sprintf("%.1fs: node %d has revision %d, while %d was accepted at %.1fs",
			o.at.Seconds(), o.of.node, o.revision, accepted.revision, applied.Seconds()))
	}
	return c, broken
}

// global are the kinds of faults that concern every node's reading of the tables.
var global = map[Kind]bool{Outage: true, SilentStore: true, SlowStore: true, LostResponses: true}

// harmless are the kinds that do not touch a node's reading of the tables.
var harmless = map[Kind]bool{
	KillTarget: true, StopTarget: true, PauseTarget: true, FailTarget: true, SlowTarget: true, ChangeTables: true, Reload: true,
}

// disturbed reports whether a fault may have kept a node from the tables within a span, or shortly before it.
func (c checker) disturbed(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.plan, func(s Step) bool {
		if harmless[s.Kind] || s.Node != node && !global[s.Kind] {
			return false
		}
		end := s.Start + s.Duration
		if s.Kind == StopNode {
			// The node may take its whole grace before it starts again.
			end += killWait
		}
		return s.Start < to && from < end+aftermath
	})
}
