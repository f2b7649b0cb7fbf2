package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// assertBroken checks how many promises a observation of node 2 breaks, after revision 5 was accepted 10 s into the plan.
func assertBroken(t *testing.T, plan []Step, s observation, want int) {
	t.Helper()
	begun := time.Unix(1000, 0)
	c := checker{plan: plan, highest: map[incarnation]uint64{{node: 2, start: 1}: 4}}
	c = c.With(change{revision: 5, at: begun.Add(10 * time.Second)})
	_, broken := c.WithObservation(s, begun)
	is.New(t).Equal(len(broken), want)
}

// TestChecker guards against a check that never fails, and against one that blames a node for a fault that was injected.
func TestChecker(t *testing.T) {
	see := func(start int, revision uint64, at time.Duration) observation {
		return observation{of: incarnation{node: 2, start: start}, revision: revision, at: at}
	}
	outage := []Step{{Start: 12 * time.Second, Duration: time.Second, Kind: Outage, Node: 1}}
	elsewhere := []Step{{Start: 12 * time.Second, Duration: time.Second, Kind: CutLink, Node: 1}}
	restart := []Step{{Start: 2 * time.Second, Duration: time.Second, Kind: StopNode, Node: 2}}

	t.Run("in force in time", func(t *testing.T) { assertBroken(t, nil, see(1, 5, 17*time.Second), 0) })
	t.Run("not yet in force, in time", func(t *testing.T) { assertBroken(t, nil, see(1, 4, 15*time.Second), 0) })
	t.Run("not in force in time", func(t *testing.T) { assertBroken(t, nil, see(1, 4, 17*time.Second), 1) })
	t.Run("not in force, platform down", func(t *testing.T) { assertBroken(t, outage, see(1, 4, 17*time.Second), 0) })
	t.Run("not in force, another node cut", func(t *testing.T) { assertBroken(t, elsewhere, see(1, 4, 17*time.Second), 1) })
	t.Run("not in force, just restarted", func(t *testing.T) { assertBroken(t, restart, see(1, 4, 17*time.Second), 0) })
	t.Run("gone back", func(t *testing.T) { assertBroken(t, nil, see(1, 3, 12*time.Second), 1) })
	t.Run("lower after a restart", func(t *testing.T) { assertBroken(t, nil, see(2, 3, 12*time.Second), 0) })
}
