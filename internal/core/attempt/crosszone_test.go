package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// newShedding returns an ingress in zone z1 whose pool refuses every attempt as failing.
func newShedding(metered bool) *harness {
	h := newHarness()
	h.state = h.state.WithMeteredZones(metered)
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
	t.Run("the credit bounds the refused attempts of all requests", func(t *testing.T) {
		assertCrossed(t, newShedding(true), 20, 1, maxCrossZoneCredit)
	})
	t.Run("free traffic between zones is not bounded", func(t *testing.T) {
		assertCrossed(t, newShedding(false), 20, 40, 20*maxRefusals)
	})
	t.Run("the credit returns with time", func(t *testing.T) {
		h := newShedding(true)
		assertCrossed(t, h, 20, 1, maxCrossZoneCredit)
		h.tick(4 * time.Second)
		assertCrossed(t, h, 20, 1, 2)
	})
	t.Run("an attempt that ran returns the credit of one refusal", func(t *testing.T) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		credit := crossZoneCredit{}.withOutcome(now, fleet.NotRun).withOutcome(now, fleet.NotRun)
		is.Equal(credit.available(now), 1.0)
		is.Equal(credit.withOutcome(now, fleet.Ran).available(now), 2.0)
	})
	t.Run("a zone without targets of its own always crosses", func(t *testing.T) {
		h := newShedding(true)
		h.state.zone = "z9"
		assertCrossed(t, h, 20, 40, 20*maxRefusals)
	})
}
