package admission_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// newCostHarness returns a sidecar with placement by cost, whose target with two slots has run lookups of 100 ms.
func newCostHarness(t *testing.T) *harness {
	t.Helper()
	h := newWarmHarness(2)
	settings := testSettings
	settings.Placement = fleet.PlacementByCost
	h.state = h.state.WithSettings(settings)
	for i := range 300 {
		id := "warm" + strconv.Itoa(i)
		h.submit(id, fleet.Lookup)
		h.finish(id, fleet.Outcome{Duration: 100 * time.Millisecond})
	}
	return h
}

// TestWaitByCost guards against waits that count running requests and not what is left of them.
func TestWaitByCost(t *testing.T) {
	is := is.New(t)
	h := newCostHarness(t)
	h.submit("a", fleet.Lookup)
	h.submit("b", fleet.Lookup)
	wait, mean := h.state.Cost(h.now, targetA)
	is.True(mean > 50*time.Millisecond && mean < 150*time.Millisecond)
	is.True(wait > 10*time.Millisecond && wait < 100*time.Millisecond)
	h.now = h.now.Add(800 * time.Millisecond)
	longer, _ := h.state.Cost(h.now, targetA)
	is.True(longer > wait) // runs that last eight times their mean have more left than new ones
}

// TestBriefAttempt guards against attempts that wait in a queue in which a longer run would make them miss their goal.
func TestBriefAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		goal    time.Duration
		brief   bool
		refused bool
	}{
		"little time left":                 {180 * time.Millisecond, true, true},
		"enough time left":                 {time.Second, true, false},
		"little time left, may wait":       {180 * time.Millisecond, false, false},
		"the goal cannot be met in a slot": {20 * time.Millisecond, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCostHarness(t)
			h.submit("a", fleet.Lookup)
			h.submit("b", fleet.Lookup)
			var effects []effect.Effect
			h.state, effects = h.state.AttemptArrived(h.context(), fleet.Attempt{
				ID: "c.1", Target: targetA, Pool: "p", Class: fleet.Lookup, Idempotent: true, Brief: c.brief,
				Deadline: h.now.Add(2 * time.Second), Goal: h.now.Add(c.goal),
			})
			refused := false
			for _, e := range effects {
				if _, ok := e.(effect.RefuseAttempt); ok {
					refused = true
				}
			}
			is.New(t).Equal(refused, c.refused)
		})
	}
}
