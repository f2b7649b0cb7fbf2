package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// assertViolations checks how many guarantees an observation of node 2 violates after revision 5 was accepted 10 s into the
// plan.
func assertViolations(t *testing.T, plan []Step, o observation, want int) {
	t.Helper()
	planStart := time.Unix(1000, 0)
	c := checker{plan: plan, highest: map[incarnation]uint64{{node: 2, start: 1}: 4}}
	c = c.WithAcceptedRevision(acceptedRevision{revision: 5, at: planStart.Add(10 * time.Second)})
	_, violations := c.WithObservation(o, planStart)
	is.New(t).Equal(len(violations), want)
}

// TestChecker guards against a check that never fails, and against one that reports a violation caused by an injected fault.
func TestChecker(t *testing.T) {
	observe := func(start int, revision uint64, at time.Duration) observation {
		return observation{incarnation: incarnation{node: 2, start: start}, revision: revision, at: at}
	}
	outage := []Step{{Start: 12 * time.Second, Duration: time.Second, Kind: Outage, Node: 1}}
	otherNodeCut := []Step{{Start: 12 * time.Second, Duration: time.Second, Kind: CutLink, Node: 1}}
	restart := []Step{{Start: 2 * time.Second, Duration: time.Second, Kind: StopNode, Node: 2}}

	t.Run("in force within the bound", func(t *testing.T) { assertViolations(t, nil, observe(1, 5, 17*time.Second), 0) })
	t.Run("not in force, still within the bound", func(t *testing.T) { assertViolations(t, nil, observe(1, 4, 15*time.Second), 0) })
	t.Run("not in force after the bound", func(t *testing.T) { assertViolations(t, nil, observe(1, 4, 17*time.Second), 1) })
	t.Run("not in force, platform down", func(t *testing.T) { assertViolations(t, outage, observe(1, 4, 17*time.Second), 0) })
	t.Run("not in force, other node cut", func(t *testing.T) { assertViolations(t, otherNodeCut, observe(1, 4, 17*time.Second), 1) })
	t.Run("not in force, just restarted", func(t *testing.T) { assertViolations(t, restart, observe(1, 4, 17*time.Second), 0) })
	t.Run("revision decreases", func(t *testing.T) { assertViolations(t, nil, observe(1, 3, 12*time.Second), 1) })
	t.Run("lower revision after a restart", func(t *testing.T) { assertViolations(t, nil, observe(2, 3, 12*time.Second), 0) })
}
