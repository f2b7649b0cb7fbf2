package attempt

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// newCostHarness returns the harness with placement by cost.
func newCostHarness() *harness {
	h := newHarness()
	h.state = h.state.WithPlacement(fleet.PlacementByCost)
	return h
}

// report records a report of a target with the given wait and mean run time, as if an attempt on it had ended.
func (h *harness) report(target fleet.TargetID, zone fleet.AvailabilityZone, wait, mean time.Duration) {
	pool := h.state.pool("p").withAttempt(target, zone)
	h.state = h.state.withPool("p", pool)
	load := fleet.Load{InFlight: 1, Slots: 4}
	if wait > 0 {
		load = fleet.Load{InFlight: 4, Queued: 1, Slots: 4}
	}
	req := activeRequest{template: fleet.Attempt{Pool: "p"}}
	h.state = h.state.withReport(h.ctx, req, fleet.Some(fleet.TargetReport{
		Target: target, Load: load, ExpectedWait: wait, MeanTime: mean, Class: fleet.Lookup,
	}))
}

// assertForwardedTo checks that a request is forwarded to the node and whether it is a probe.
func assertForwardedTo(t *testing.T, effects []effect.Effect, node fleet.NodeID, probe bool) {
	t.Helper()
	for _, e := range effects {
		if f, ok := e.(effect.ForwardAttempt); ok {
			if f.Attempt.Node != node || f.Attempt.Probe != probe {
				t.Errorf("forwarded to %s, probe %t; want %s, %t", f.Attempt.Node, f.Attempt.Probe, node, probe)
			}
			return
		}
	}
	t.Errorf("not forwarded: %v", effects)
}

// TestPlacementByCost guards against requests that wait on a slow or busy target while another one would complete them earlier, and
// against attempts in other zones that gain callers nothing.
func TestPlacementByCost(t *testing.T) {
	t.Run("the faster of two free targets is asked", func(t *testing.T) {
		for i := range 8 {
			h := newCostHarness()
			h.random = randomSequence(i)
			h.report("n0/t", "z1", 0, 300*time.Millisecond)
			h.report("n1/t", "z1", 0, 100*time.Millisecond)
			assertForwardedTo(t, h.arrive(true, ""), "n1", true)
		}
	})
	t.Run("a request waits in the own zone without a probe if that meets the goal", func(t *testing.T) {
		h := newCostHarness()
		h.report("n0/t", "z1", 300*time.Millisecond, 100*time.Millisecond)
		h.report("n1/t", "z1", 150*time.Millisecond, 100*time.Millisecond)
		assertForwardedTo(t, h.arrive(true, ""), "n1", false)
	})
	t.Run("a request goes to a free target of another zone if no queue of its own meets the goal", func(t *testing.T) {
		h := newCostHarness()
		h.report("n0/t", "z1", 900*time.Millisecond, 100*time.Millisecond)
		h.report("n1/t", "z1", 900*time.Millisecond, 100*time.Millisecond)
		for _, n := range []fleet.TargetID{"n2/t", "n3/t"} {
			h.report(n, "z2", 950*time.Millisecond, 100*time.Millisecond)
		}
		h.report("n4/t", "z3", 0, 100*time.Millisecond)
		h.report("n5/t", "z3", 800*time.Millisecond, 100*time.Millisecond)
		assertForwardedTo(t, h.arrive(true, ""), "n4", false)
	})
	t.Run("a zone that reported long waits is not asked", func(t *testing.T) {
		h := newCostHarness()
		for _, n := range []fleet.TargetID{"n0/t", "n1/t"} {
			h.report(n, "z1", 950*time.Millisecond, 100*time.Millisecond)
		}
		h.report("n2/t", "z2", 950*time.Millisecond, 100*time.Millisecond)
		h.report("n4/t", "z3", 950*time.Millisecond, 100*time.Millisecond)
		for _, e := range h.arrive(true, "") {
			if f, ok := e.(effect.ForwardAttempt); ok {
				is.New(t).True(!f.CrossZone)
			}
		}
	})
	t.Run("reports older than their lifetime are not used", func(t *testing.T) {
		h := newCostHarness()
		h.report("n0/t", "z1", 2*time.Second, 100*time.Millisecond)
		h.ctx.Now = h.ctx.Now.Add(loadLifetime + maxFullDuration)
		wait, known := h.state.pool("p").expectedWait(h.ctx.Now, h.state.pool("p").target("n0/t"), fleet.Lookup, 4)
		is.New(t).True(!known && wait == 0)
	})
	t.Run("attempts sent since the last report count", func(t *testing.T) {
		is := is.New(t)
		h := newCostHarness()
		h.report("n0/t", "z1", 0, 100*time.Millisecond)
		for range 4 {
			h.state = h.state.withPool("p", h.state.pool("p").withAttempt("n0/t", "z1"))
		}
		wait, known := h.state.pool("p").expectedWait(h.ctx.Now, h.state.pool("p").target("n0/t"), fleet.Lookup, 4)
		is.True(known && wait > 0)
	})
	t.Run("a node that knows nothing asks a target of its own zone", func(t *testing.T) {
		h := newCostHarness()
		for _, e := range h.arrive(true, "") {
			if f, ok := e.(effect.ForwardAttempt); ok {
				is.New(t).True(!f.CrossZone && f.Attempt.Probe)
			}
		}
	})
}
