package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// newShedding returns an ingress in zone z1 whose pool, with the given number of targets in each of two zones, refuses every attempt as
// failing.
func newShedding(metered bool, perZone int) *harness {
	h := newHarness()
	h.state = h.state.WithMeteredZones(metered)
	candidates := make([]fleet.Candidate, 0, 2*perZone)
	for i := range 2 * perZone {
		node := fleet.NodeID(fmt.Sprintf("n%02d", i))
		candidates = append(candidates, fleet.Candidate{
			Target:           fleet.Target{ID: fleet.NewTargetID(node, "t"), Pool: "p", Slots: 4},
			Node:             node,
			AvailabilityZone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%2+1)),
		})
	}
	h.ctx.Directory = h.ctx.Directory.WithPool("p", candidates)
	return h
}

// refuseAll sends a request that every target refuses, and returns the number of attempts in other zones.
func (h *harness) refuseAll() int {
	crossed := 0
	for effects := h.arrive(true, ""); ; {
		forward, ok := effects[len(effects)-1].(effect.ForwardAttempt)
		if !ok {
			return crossed
		}
		if forward.CrossZone {
			crossed++
		}
		faulty := report(forward.Attempt.Target, 0)
		faulty.Health = fleet.Faulty
		effects = h.finish(forward.Attempt, failure(fleet.Failing, fleet.NotRun), fleet.Some(faulty))
	}
}

func assertCrossed(t *testing.T, h *harness, requests, atLeast, atMost int) {
	t.Helper()
	is := is.New(t)
	crossed := 0
	for range requests {
		crossed += h.refuseAll()
	}
	is.True(crossed >= atLeast)
	is.True(crossed <= atMost)
}

// TestRefusalsOfOtherZones guards against a pool that fails or sheds as a whole and is asked in every zone by every request: nine
// of ten attempts that cross zones are then refused there, and their bytes cost more than what they save.
func TestRefusalsOfOtherZones(t *testing.T) {
	t.Run("without credit a request crosses only as a last resort", func(t *testing.T) {
		assertCrossed(t, newShedding(true, minZoneTargets), 20, 20, maxCrossZoneCredit+20*maxLastResorts)
	})
	t.Run("free traffic between zones is not bounded", func(t *testing.T) {
		assertCrossed(t, newShedding(false, minZoneTargets), 20, 60, 20*maxRefusals)
	})
	t.Run("a zone with few targets is not bounded", func(t *testing.T) {
		assertCrossed(t, newShedding(true, minZoneTargets-1), 20, 50, 20*maxRefusals)
	})
	t.Run("the credit returns with time", func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		credit := crossZoneCredit{}
		for range 10 {
			credit = credit.withOutcome(now, fleet.NotRun)
		}
		is.Equal(credit.available(now), 0.0)
		is.Equal(credit.available(now.Add(2*time.Second)), 1.0)
		is.Equal(credit.available(now.Add(time.Minute)), float64(maxCrossZoneCredit))
	})
	t.Run("an attempt that ran returns the credit of one refusal", func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		credit := crossZoneCredit{}.withOutcome(now, fleet.NotRun).withOutcome(now, fleet.NotRun)
		is.Equal(credit.available(now), 1.0)
		is.Equal(credit.withOutcome(now, fleet.Ran).available(now), 2.0)
	})
	t.Run("a zone without targets of its own always crosses", func(t *testing.T) {
		h := newShedding(true, minZoneTargets)
		h.state.zone = "z9"
		assertCrossed(t, h, 20, 60, 20*maxRefusals)
	})
}
