package soak

import (
	"fmt"
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

// judge checks what is seen of the tables against the promises. It is immutable.
type judge struct {
	plan []Step
	// changes are the revisions accepted so far.
	changes []change
	// highest is the highest revision that each life of a node has shown.
	highest map[life]uint64
}

// life is one life of a node's process.
type life struct{ node, number int }

// sight is the revision that a node showed at a time since the beginning of the plan.
type sight struct {
	life     life
	revision uint64
	at       time.Duration
}

// With returns the judge after a change was accepted.
func (j judge) With(c change) judge {
	j.changes = append(slices.Clone(j.changes), c)
	return j
}

// Seen returns the judge after a node showed its revision, and what that breaks.
func (j judge) Seen(s sight, begun time.Time) (judge, []string) {
	var broken []string
	before := j.highest[s.life]
	if s.revision < before {
		broken = append(broken, fmt.Sprintf("%.1fs: node %d went back from revision %d to %d", s.at.Seconds(), s.life.node, before, s.revision))
	}
	highest := make(map[life]uint64, len(j.highest)+1)
	for l, r := range j.highest {
		highest[l] = r
	}
	highest[s.life] = max(before, s.revision)
	j.highest = highest
	for _, c := range j.changes {
		applied := c.at.Sub(begun)
		if s.revision >= c.revision || s.at-applied <= inForce || j.disturbed(s.life.node, applied, s.at) {
			continue
		}
		broken = append(broken, fmt.Sprintf("%.1fs: node %d has revision %d, while %d was accepted at %.1fs",
			s.at.Seconds(), s.life.node, s.revision, c.revision, applied.Seconds()))
	}
	return j, broken
}

// global are the kinds of faults that concern every node's reading of the tables.
var global = map[Kind]bool{Outage: true, SilentStore: true, SlowStore: true, LostAnswers: true}

// harmless are the kinds that do not touch a node's reading of the tables.
var harmless = map[Kind]bool{
	KillTarget: true, StopTarget: true, PauseTarget: true, FailTarget: true, SlowTarget: true, ChangeTables: true, Reload: true,
}

// disturbed reports whether a fault may have kept a node from the tables within a span, or shortly before it.
func (j judge) disturbed(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(j.plan, func(s Step) bool {
		if harmless[s.Kind] || s.On != node && !global[s.Kind] {
			return false
		}
		end := s.At + s.For
		if s.Kind == StopNode {
			// The node may take its whole grace before it starts again.
			end += killWait
		}
		return s.At < to && from < end+aftermath
	})
}
