package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayfold.dev/jayfold/internal/core/admission"
	"jayfold.dev/jayfold/internal/core/effect"
	"jayfold.dev/jayfold/internal/core/fleet"
)

// TestDuplicates guards against an order that runs twice because its attempt arrives twice, and against a verdict on the
// duplicate that lets the ingress retry the order elsewhere although the first attempt may still run.
func TestDuplicates(t *testing.T) {
	cancel := func(h *harness, id fleet.AttemptID) { h.state, h.effects = h.state.AttemptCanceled(h.context(), id) }
	cases := []struct {
		name    string
		first   func(*harness)
		verdict fleet.Verdict
	}{
		{"first attempt is running", func(h *harness) { h.submit("x", fleet.Order) }, fleet.MayHaveRun},
		{"first attempt has finished", func(h *harness) {
			h.submit("x", fleet.Order)
			h.finish("x", fleet.Outcome{})
		}, fleet.MayHaveRun},
		{"first attempt is queued", func(h *harness) {
			h.submit("0", fleet.Order)
			h.submit("x", fleet.Order)
		}, fleet.MayHaveRun},
		{"first attempt is queued while many others are refused", func(h *harness) {
			h.submit("0", fleet.Order)
			h.submit("x", fleet.Order)
			h.service = admission.OutOfService
			for i := range 100_000 {
				h.submit(fmt.Sprint("refused", i), fleet.Lookup)
			}
			h.service = admission.InService
		}, fleet.MayHaveRun},
		{"first attempt was refused", func(h *harness) {
			h.service = admission.OutOfService
			h.submit("x", fleet.Order)
			h.service = admission.InService
		}, fleet.NotRun},
		{"first attempt was canceled while queued", func(h *harness) {
			h.submit("0", fleet.Order)
			h.submit("x", fleet.Order)
			cancel(h, "x")
			h.finish("0", fleet.Outcome{})
		}, fleet.NotRun},
		{"cancellation arrives first", func(h *harness) { cancel(h, "x") }, fleet.NotRun},
		{"duplicate after two minutes", func(h *harness) {
			h.submit("x", fleet.Order)
			h.finish("x", fleet.Outcome{})
			h.now = h.now.Add(2 * time.Minute)
			h.submit("y", fleet.Order)
		}, fleet.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is, h := is.New(t), newWarmHarness(1)
			c.first(h)
			h.submit("x", fleet.Order)
			h.assertRuns(is)
			h.assertRefused(is, "x", fleet.Duplicate, c.verdict)
		})
	}
}

// TestCancellation guards against telling an ingress that a canceled order has not run when it may have.
func TestCancellation(t *testing.T) {
	is, h := is.New(t), newWarmHarness(1)
	h.submit("0", fleet.Order)
	h.submit("1", fleet.Order)
	h.state, h.effects = h.state.AttemptCanceled(h.context(), "1")
	h.assertRefused(is, "1", fleet.Canceled, fleet.NotRun)
	h.state, h.effects = h.state.AttemptCanceled(h.context(), "0")
	is.Equal(h.effects, []effect.Effect{effect.CancelRun{Attempt: "0"}})
	h.finish("0", failed(fleet.Canceled, fleet.MayHaveRun, false))
	h.assertRuns(is) // the canceled attempt does not start
}

func assertCrash(is *is.I, crash fleet.Option[admission.Crash], first bool, inFlight ...fleet.Fingerprint) {
	is.Helper()
	c, ok := crash.Get()
	is.True(ok) // the crash is reported
	is.Equal(c.Target, targetA)
	is.Equal(c.First, first)
	is.Equal(c.InFlight, inFlight)
}

// TestCrashes guards against a crash that is attributed to only one of several requests in flight, reported as new more than
// once, or missed because the target's next process has already started.
func TestCrashes(t *testing.T) {
	crash := failed(fleet.Broken, fleet.MayHaveRun, true)
	broken := failed(fleet.Broken, fleet.MayHaveRun, false)
	finish := func(h *harness, id string, o fleet.Outcome) fleet.Option[admission.Crash] {
		finished, _ := h.finish(id, o).Get()
		return finished.Crash
	}
	t.Run("all requests in flight, reported once", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(3)
		h.submit("a", fleet.Order)
		h.submit("b", fleet.Order)
		assertCrash(is, finish(h, "b", crash), true, 'a', 'b')
		assertCrash(is, finish(h, "a", crash), false, 'a', 'b')
	})
	t.Run("one connection broke before the dial failed", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(3)
		h.submit("a", fleet.Order)
		h.submit("b", fleet.Order)
		finish(h, "b", broken)
		assertCrash(is, finish(h, "a", crash), true, 'b', 'a')
	})
	t.Run("heartbeat of the next process comes first", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(3)
		h.submit("a", fleet.Order)
		assertCrash(is, h.heartbeat("i2", 3).Crash, true, 'a')
		is.Equal(h.state.Load(targetA).InFlight, 0) // the old run occupies no slot of the new process
		assertCrash(is, finish(h, "a", broken), false, 'a')
	})
	t.Run("next process takes the port before the dial", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(3)
		h.submit("a", fleet.Order)
		finish(h, "a", broken)
		assertCrash(is, h.heartbeat("i2", 3).Crash, true, 'a')
	})
	t.Run("process takes no connection soon after one broke", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(3)
		h.submit("a", fleet.Order)
		h.submit("b", fleet.Order)
		finish(h, "a", broken)
		assertCrash(is, finish(h, "b", failed(fleet.Unreachable, fleet.NotRun, false)), true, 'a')
	})
	t.Run("process takes no connection long after one broke", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(3)
		h.submit("a", fleet.Order)
		finish(h, "a", broken)
		h.advance(4*time.Second, "i1", 3)
		h.submit("b", fleet.Order)
		_, crashed := finish(h, "b", failed(fleet.Unreachable, fleet.NotRun, false)).Get()
		is.True(!crashed)
	})
	t.Run("draining process takes no connection after one broke", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(3)
		h.submit("a", fleet.Order)
		h.submit("b", fleet.Order)
		finish(h, "a", broken)
		draining := newHeartbeat("i1", 3)
		draining.State = fleet.TargetDraining
		h.receiveHeartbeat(draining)
		_, crashed := finish(h, "b", failed(fleet.Unreachable, fleet.NotRun, false)).Get()
		is.True(!crashed)
	})
	t.Run("replacement of a draining process is no crash", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(3)
		h.submit("a", fleet.Order)
		draining := newHeartbeat("i1", 3)
		draining.State = fleet.TargetDraining
		h.receiveHeartbeat(draining)
		_, crashed := h.heartbeat("i2", 3).Crash.Get()
		is.True(!crashed)
	})
	t.Run("failed dial is no crash", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(3)
		h.submit("a", fleet.Order)
		_, crashed := finish(h, "a", failed(fleet.Unreachable, fleet.NotRun, true)).Get()
		is.True(!crashed)
	})
	t.Run("crashed target refuses attempts until its next heartbeat", func(t *testing.T) {
		is, h := is.New(t), newWarmHarness(1)
		h.submit("a", fleet.Order)
		h.submit("b", fleet.Order)
		finish(h, "a", crash)
		h.assertRefused(is, "b", fleet.Unreachable, fleet.NotRun)
		is.Equal(len(h.state.Targets()), 0)
		h.heartbeat("i2", 1)
		h.submit("c", fleet.Order)
		h.assertRuns(is, "c")
	})
}

// TestSuspectsRunOneAtATime guards against quarantining a harmless request that was in flight at two crashes only because it ran
// beside the request that caused them.
func TestSuspectsRunOneAtATime(t *testing.T) {
	is, h := is.New(t), newWarmHarness(3)
	h.suspected = fleet.NewSet[fleet.Fingerprint]('p', 'q')
	h.submit("p", fleet.Lookup)
	h.assertRuns(is, "p")
	h.submit("q", fleet.Lookup)
	h.assertRuns(is)
	h.submit("x", fleet.Lookup) // other requests do not wait behind a suspected one
	h.assertRuns(is, "x")
	h.finish("p", fleet.Outcome{})
	h.assertRuns(is, "q")
}
