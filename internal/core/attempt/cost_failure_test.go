package attempt

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// firstChoices returns how often each node gets the first attempt of a request, over ingresses with the same view.
func firstChoices(build func() *harness, ingresses int) map[fleet.NodeID]int {
	chosen := map[fleet.NodeID]int{}
	for i := range ingresses {
		h := build()
		h.random = randomSequence(i + 1)
		for _, e := range h.arrive(true, "") {
			if f, ok := e.(effect.ForwardAttempt); ok {
				chosen[f.Attempt.Node]++
			}
		}
	}
	return chosen
}

// TestPlacementWithWrongReports guards against targets that attract or repel all requests by what they report or no longer report.
func TestPlacementWithWrongReports(t *testing.T) {
	const mean = 100 * time.Millisecond
	t.Run("a report far from those of the pool counts within bounds", func(t *testing.T) {
		is := is.New(t)
		h := newCostHarness()
		for range 100 {
			h.report("n0/t", "z1", 0, mean)
		}
		h.report("n1/t", "z1", 0, time.Nanosecond)
		h.report("n2/t", "z2", 0, 10*time.Hour)
		pool := h.state.pool("p")
		for _, id := range []fleet.TargetID{"n1/t", "n2/t"} {
			run := pool.runTime(h.ctx.Now, pool.target(id), fleet.Lookup)
			is.True(run >= pool.costs.means[fleet.Lookup]/maxSpeedRatio && run <= pool.costs.means[fleet.Lookup]*maxSpeedRatio)
		}
	})
	t.Run("a target that claims to be fast but refuses is followed by another", func(t *testing.T) {
		h := newCostHarness()
		h.report("n0/t", "z1", 0, mean)
		h.report("n1/t", "z1", 0, mean/50)
		effects := h.arrive(true, "")
		assertForwardedTo(t, effects, "n1", true)
		assertForwardedTo(t, h.fail(effects[0].(effect.ForwardAttempt).Attempt, fleet.Overloaded, fleet.NotRun), "n0", true)
	})
	t.Run("a target whose reports stop is used again after it was slow", func(t *testing.T) {
		h := newCostHarness()
		build := func() *harness {
			c := *h
			return &c
		}
		h.report("n0/t", "z1", 0, mean)
		h.report("n1/t", "z1", 0, 5*mean)
		is := is.New(t)
		is.Equal(firstChoices(build, 40)["n1"], 0)
		h.ctx.Now = h.ctx.Now.Add(meanLifetime)
		h.report("n0/t", "z1", 0, mean)
		is.Equal(h.state.pool("p").runTime(h.ctx.Now, h.state.pool("p").target("n1/t"), fleet.Lookup), h.state.pool("p").costs.means[fleet.Lookup])
	})
	t.Run("a new target gets requests", func(t *testing.T) {
		h := newCostHarness()
		h.report("n0/t", "z1", 300*time.Millisecond, mean)
		assertForwardedTo(t, h.arrive(true, ""), "n1", true)
	})
	t.Run("ingresses with the same view choose different targets", func(t *testing.T) {
		build := func() *harness { return poolOf(60, 0) }
		chosen := firstChoices(build, 200)
		most := 0
		for _, n := range chosen {
			most = max(most, n)
		}
		if most > 100 || len(chosen) < 8 {
			t.Errorf("one target gets %d of 200 first attempts, %d targets get any: %v", most, len(chosen), chosen)
		}
	})
	t.Run("a reload to placement by count takes effect on the next attempt", func(t *testing.T) {
		h := newCostHarness()
		h.state = h.state.WithPlacement(fleet.PlacementByCount)
		h.arrive(true, "")
		_, known := h.state.pools.Get("p")
		is.New(t).True(!known) // no cost is kept
	})
}

// TestPlacementIsExplained guards against a log line from which the choice of a target cannot be understood.
func TestPlacementIsExplained(t *testing.T) {
	is := is.New(t)
	h := newCostHarness()
	h.report("n0/t", "z1", 300*time.Millisecond, 100*time.Millisecond)
	h.report("n1/t", "z1", 150*time.Millisecond, 100*time.Millisecond)
	first := h.arrive(true, "")[0].(effect.ForwardAttempt)
	is.True(first.Attempt.Brief)
	info, ok := h.state.PlacementInfo(first.Attempt.ID)
	is.True(ok)
	is.Equal(info, PlacementInfo{Mode: "briefly", Expected: 250 * time.Millisecond})
	for _, e := range h.finish(first.Attempt, fleet.Outcome{Status: 200}, fleet.Option[fleet.TargetReport]{}) {
		if line, isLine := e.(effect.WriteLog); isLine {
			is.True(strings.Contains(fmt.Sprint(line.Fields), "n1/t briefly +0s expected 150ms+100ms"))
		}
	}
}
